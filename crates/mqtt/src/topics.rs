//! Topic filters (section 4.7), and templates that derive names from the levels of a topic.

use std::fmt;

/// A topic filter without a shared-subscription part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TopicFilter {
    levels: Vec<Level>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Level {
    Name(String),
    /// `+`, exactly one level.
    One,
    /// `#`, any number of levels.
    Rest,
}

/// Why a text is not a topic filter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TopicFilterError {
    /// The text is empty.
    Empty,
    /// `#` is not alone in the last level, or `+` is not alone in its level.
    Wildcard,
    /// The text begins with `$`, which is reserved for servers and shared subscriptions.
    Dollar,
}

impl fmt::Display for TopicFilterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TopicFilterError::Empty => "a topic filter may not be empty",
            TopicFilterError::Wildcard => {
                "'#' may only be the last level, and '+' and '#' must be the only character of their level"
            }
            TopicFilterError::Dollar => "a route's filter may not begin with '$'",
        })
    }
}

impl std::error::Error for TopicFilterError {}

impl TopicFilter {
    /// Parses a filter.
    ///
    /// # Errors
    /// If section 4.7.1 does not allow the text, or it begins with `$`.
    pub fn parse(text: &str) -> Result<Self, TopicFilterError> {
        if text.is_empty() {
            return Err(TopicFilterError::Empty);
        }
        if text.starts_with('$') {
            return Err(TopicFilterError::Dollar);
        }
        let last = text.split('/').count() - 1;
        let level = |(index, part): (usize, &str)| match part {
            "+" => Ok(Level::One),
            "#" if index == last => Ok(Level::Rest),
            _ if part.contains(['+', '#']) => Err(TopicFilterError::Wildcard),
            _ => Ok(Level::Name(part.into())),
        };
        Ok(TopicFilter { levels: text.split('/').enumerate().map(level).collect::<Result<_, _>>()? })
    }

    /// Whether a topic name matches. A name that begins with `$` matches no wildcard (section 4.7.2) and, as
    /// no filter of a route begins with `$`, no filter at all.
    #[must_use]
    pub fn matches(&self, topic: &str) -> bool {
        if topic.starts_with('$') {
            return false;
        }
        let mut parts = topic.split('/');
        for level in &self.levels {
            match (level, parts.next()) {
                (Level::Rest, _) => return true,
                (Level::One, Some(_)) => {}
                (Level::Name(name), Some(part)) if name == part => {}
                _ => return false,
            }
        }
        parts.next().is_none()
    }

    /// Minimum number of levels of a matching topic.
    #[must_use]
    pub fn min_levels(&self) -> usize {
        self.levels.iter().filter(|level| **level != Level::Rest).count()
    }
}

impl fmt::Display for TopicFilter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, level) in self.levels.iter().enumerate() {
            let slash = if index > 0 { "/" } else { "" };
            match level {
                Level::Name(name) => write!(f, "{slash}{name}")?,
                Level::One => write!(f, "{slash}+")?,
                Level::Rest => write!(f, "{slash}#")?,
            }
        }
        Ok(())
    }
}

/// A text with placeholders for levels of a topic: `{2}` in `rules-{2}` is the second level.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Template {
    parts: Vec<Part>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Part {
    Text(String),
    /// The number of a level, from 1.
    Level(usize),
}

/// Why a text is not a template.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TemplateError {
    /// A brace is unmatched, or braces contain anything but a number from 1.
    Brace,
}

impl fmt::Display for TemplateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("braces must contain the number of a topic level, from 1, as in 'rules-{2}'")
    }
}

impl std::error::Error for TemplateError {}

impl fmt::Display for Template {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.parts.iter().try_for_each(|part| match part {
            Part::Text(text) => f.write_str(text),
            Part::Level(level) => write!(f, "{{{level}}}"),
        })
    }
}

impl Template {
    /// Parses a template.
    ///
    /// # Errors
    /// If braces do not contain the number of a level.
    pub fn parse(text: &str) -> Result<Self, TemplateError> {
        let mut parts = Vec::new();
        let mut rest = text;
        while let Some(open) = rest.find(['{', '}']) {
            let close =
                rest[open..].find('}').map(|offset| open + offset).filter(|_| rest[open..].starts_with('{'));
            let close = close.ok_or(TemplateError::Brace)?;
            let level =
                rest[open + 1..close].parse().ok().filter(|level| *level > 0).ok_or(TemplateError::Brace)?;
            parts.push(Part::Text(rest[..open].into()));
            parts.push(Part::Level(level));
            rest = &rest[close + 1..];
        }
        parts.push(Part::Text(rest.into()));
        Ok(Template { parts })
    }

    /// Fills in the levels of a topic; a level that the topic lacks is empty.
    #[must_use]
    pub fn fill(&self, topic: &str) -> String {
        let fill = |part: &Part| match part {
            Part::Text(text) => text.clone(),
            Part::Level(level) => topic.split('/').nth(level - 1).unwrap_or_default().to_string(),
        };
        self.parts.iter().map(fill).collect()
    }

    /// The highest level in a placeholder; 0 without placeholders.
    #[must_use]
    pub fn highest_level(&self) -> usize {
        let levels = self.parts.iter().map(|part| match part {
            Part::Level(level) => *level,
            Part::Text(_) => 0,
        });
        levels.max().unwrap_or(0)
    }
}

/// Maximum length of a topic name, in bytes (section 1.5.4).
const MAX_TOPIC_NAME: usize = 65_535;

/// Whether a text is a valid topic name (section 4.7.3).
pub(crate) fn is_topic_name(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_TOPIC_NAME && !text.contains(['+', '#', '\0'])
}

#[cfg(test)]
mod tests;

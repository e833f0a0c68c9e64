//! Topic filters (section 4.7) and names made from a topic's levels. Called by the routes.

use std::fmt;

/// A topic filter without a shared-subscription part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TopicFilter {
    levels: Vec<Level>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Level {
    Name(String),
    One,
    Rest,
}

/// Why a text is no topic filter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TopicFilterError {
    /// It is empty.
    Empty,
    /// `#` stands elsewhere than alone in the last level, or `+` beside other characters.
    Wildcard,
    /// It begins with `$`, which is for servers and shared subscriptions.
    Dollar,
}

impl fmt::Display for TopicFilterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TopicFilterError::Empty => "a topic filter may not be empty",
            TopicFilterError::Wildcard => {
                "'#' may only be the last level, and '+' and '#' fill a level alone"
            }
            TopicFilterError::Dollar => "a route's filter may not begin with '$'",
        })
    }
}

impl std::error::Error for TopicFilterError {}

impl TopicFilter {
    /// Reads a filter.
    ///
    /// # Errors
    /// When section 4.7.1 forbids it.
    pub fn parse(text: &str) -> Result<Self, TopicFilterError> {
        if text.is_empty() {
            return Err(TopicFilterError::Empty);
        }
        if text.starts_with('$') {
            return Err(TopicFilterError::Dollar);
        }
        let last = text.split('/').count() - 1;
        let level = |(n, part): (usize, &str)| match part {
            "+" => Ok(Level::One),
            "#" if n == last => Ok(Level::Rest),
            _ if part.contains(['+', '#']) => Err(TopicFilterError::Wildcard),
            _ => Ok(Level::Name(part.into())),
        };
        Ok(TopicFilter { levels: text.split('/').enumerate().map(level).collect::<Result<_, _>>()? })
    }

    /// Whether a topic name matches. Names that begin with `$` match no wildcard (section 4.7.2), and as a route's
    /// filter never begins so, nothing at all.
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

    /// How many levels every matching topic has at least.
    pub fn least_levels(&self) -> usize {
        self.levels.iter().filter(|l| **l != Level::Rest).count()
    }
}

impl fmt::Display for TopicFilter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, level) in self.levels.iter().enumerate() {
            let slash = if n > 0 { "/" } else { "" };
            match level {
                Level::Name(name) => write!(f, "{slash}{name}")?,
                Level::One => write!(f, "{slash}+")?,
                Level::Rest => write!(f, "{slash}#")?,
            }
        }
        Ok(())
    }
}

/// A text with places for levels of the topic: `rules-{2}` takes the second level.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Template {
    parts: Vec<Part>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Part {
    Text(String),
    Level(usize),
}

/// Why a text is no template.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TemplateError {
    /// A brace stands alone, or between braces is no number from 1 on.
    Brace,
}

impl fmt::Display for TemplateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("braces hold the number of a topic level, from 1 on, as in 'rules-{2}'")
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
    /// Reads a template.
    ///
    /// # Errors
    /// When its braces hold no level.
    pub fn parse(text: &str) -> Result<Self, TemplateError> {
        let (mut parts, mut rest) = (Vec::new(), text);
        while let Some(open) = rest.find(['{', '}']) {
            let close = rest[open..].find('}').map(|n| open + n).filter(|_| rest[open..].starts_with('{'));
            let close = close.ok_or(TemplateError::Brace)?;
            let level = rest[open + 1..close].parse().ok().filter(|n| *n > 0).ok_or(TemplateError::Brace)?;
            parts.push(Part::Text(rest[..open].into()));
            parts.push(Part::Level(level));
            rest = &rest[close + 1..];
        }
        parts.push(Part::Text(rest.into()));
        Ok(Template { parts })
    }

    /// The text for a topic; levels that it lacks are empty.
    pub fn fill(&self, topic: &str) -> String {
        let part = |p: &Part| match p {
            Part::Text(text) => text.clone(),
            Part::Level(n) => topic.split('/').nth(n - 1).unwrap_or_default().to_string(),
        };
        self.parts.iter().map(part).collect()
    }

    /// The highest level that is asked for; 0 for none.
    pub fn highest_level(&self) -> usize {
        self.parts.iter().map(|p| if let Part::Level(n) = p { *n } else { 0 }).max().unwrap_or(0)
    }
}

/// Whether a text may be the name of a topic (section 4.7.3).
pub(crate) fn is_topic_name(text: &str) -> bool {
    !text.is_empty() && text.len() <= 65_535 && !text.contains(['+', '#', '\0'])
}

#[cfg(test)]
mod tests {
    use super::*;

    fn matches(filter: &str, topic: &str) -> bool {
        TopicFilter::parse(filter).unwrap().matches(topic)
    }

    #[test]
    fn filters_match_as_the_specification_says() {
        assert!(matches("a/#", "a") && matches("a/#", "a/b/c") && matches("#", "a/b"));
        assert!(matches("a/+", "a/") && matches("+/+", "/b") && matches("+", "a"));
        assert!(!matches("a/+", "a") && !matches("+", "/a") && !matches("a", "a/b") && !matches("a/b", "a"));
        assert!(!matches("#", "$SYS/x") && !matches("+/x", "$SYS/x"));
    }

    #[test]
    fn wildcards_elsewhere_are_refused() {
        for bad in ["", "a+/b", "a/#/b", "a#", "$share/g/a"] {
            assert!(TopicFilter::parse(bad).is_err(), "{bad}");
        }
    }

    #[test]
    fn templates_take_levels() {
        let template = Template::parse("rules-{2}.{1}").unwrap();
        assert_eq!((template.fill("a/b/c").as_str(), template.highest_level()), ("rules-b.a", 2));
        for bad in ["{", "}", "{0}", "{x}", "a{1"] {
            assert_eq!(Template::parse(bad), Err(TemplateError::Brace), "{bad}");
        }
    }
}

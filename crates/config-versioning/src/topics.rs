//! MQTT topic filters: matching, intersection, and representative topics of a filter.

use std::collections::BTreeSet;

/// A level name that occurs in no filter as a literal: a wildcard character cannot be part of a name.
const UNNAMED_LEVEL: &str = "+";

/// Whether a filter matches a topic. Wildcards at the first level do not match topics that begin with `$`.
pub(crate) fn matches(filter: &str, topic: &str) -> bool {
    if topic.starts_with('$') && filter.split('/').next().is_some_and(is_wildcard) {
        return false;
    }
    let (mut filter, mut topic) = (filter.split('/'), topic.split('/'));
    loop {
        match (filter.next(), topic.next()) {
            (Some("#"), _) | (None, None) => return true,
            (Some("+"), Some(_)) => {}
            (Some(expected), Some(level)) if expected == level => {}
            _ => return false,
        }
    }
}

fn is_wildcard(level: &str) -> bool {
    level == "+" || level == "#"
}

/// The filter that matches exactly the topics that both filters match; `None` if there are none.
pub(crate) fn intersection(one: &str, two: &str) -> Option<String> {
    let (one, two): (Vec<&str>, Vec<&str>) = (one.split('/').collect(), two.split('/').collect());
    if (one[0].starts_with('$') && is_wildcard(two[0])) || (two[0].starts_with('$') && is_wildcard(one[0])) {
        return None;
    }
    let mut levels = Vec::new();
    for at in 0..=one.len().max(two.len()) {
        let level = match (one.get(at), two.get(at)) {
            (None, None) => break,
            (Some(&"#"), _) => {
                levels.extend(&two[at.min(two.len())..]);
                break;
            }
            (_, Some(&"#")) => {
                levels.extend(&one[at.min(one.len())..]);
                break;
            }
            (Some(left), Some(right)) if left == right || *right == "+" => *left,
            (Some(&"+"), Some(right)) => *right,
            _ => return None,
        };
        levels.push(level);
    }
    Some(levels.join("/"))
}

/// Topics that represent all topics that `filter` matches in a comparison with filters of at most `levels`
/// levels: a filter that matches one of them matches all topics of the same length that `filter` matches.
/// Wildcards are replaced by a level name that occurs in no filter.
pub(crate) fn representative_topics(filter: &str, levels: usize) -> BTreeSet<String> {
    let Some(head) = filter.strip_suffix('#') else { return [filter.to_string()].into() };
    let head = head.trim_end_matches('/');
    let start: Vec<&str> = if head.is_empty() { Vec::new() } else { head.split('/').collect() };
    let lengths = start.len().max(1)..=levels.max(start.len()) + 1;
    let extended =
        |length: usize| [&start[..], &vec![UNNAMED_LEVEL; length - start.len()][..]].concat().join("/");
    lengths.map(extended).collect()
}

//! Which topics two MQTT topic filters share, and topics that stand for all of them. Asked by the comparison of routes.

use std::collections::BTreeSet;

/// The name that stands for any other one: no filter has it as the name of a level.
const ANY: &str = "+";

/// Whether a filter takes a topic. Wildcards at the first level leave topics alone that begin with `$`.
pub(crate) fn matches(filter: &str, topic: &str) -> bool {
    let (mut filter, mut topic) = (filter.split('/').peekable(), topic.split('/').peekable());
    if topic.peek().is_some_and(|t| t.starts_with('$')) && matches!(filter.peek(), Some(&"+") | Some(&"#")) {
        return false;
    }
    loop {
        match (filter.next(), topic.next()) {
            (Some("#"), _) | (None, None) => return true,
            (Some("+"), Some(_)) => {}
            (Some(f), Some(t)) if f == t => {}
            _ => return false,
        }
    }
}

/// The filter of all topics that both filters take; nothing where there are none.
pub(crate) fn shared(a: &str, b: &str) -> Option<String> {
    let (a, b): (Vec<&str>, Vec<&str>) = (a.split('/').collect(), b.split('/').collect());
    let wild = |level: &str| level == "+" || level == "#";
    if (a[0].starts_with('$') && wild(b[0])) || (b[0].starts_with('$') && wild(a[0])) {
        return None;
    }
    let mut levels = Vec::new();
    let mut at = 0;
    loop {
        let level = match (a.get(at), b.get(at)) {
            (None, None) => break,
            (Some(&"#"), _) => {
                levels.extend(&b[at.min(b.len())..]);
                break;
            }
            (_, Some(&"#")) => {
                levels.extend(&a[at.min(a.len())..]);
                break;
            }
            (Some(x), Some(y)) if x == y || *y == "+" => *x,
            (Some(&"+"), Some(y)) => *y,
            _ => return None,
        };
        levels.push(level);
        at += 1;
    }
    Some(levels.join("/"))
}

/// Topics that stand for all that a filter takes before filters of at most so many levels: whatever filter takes one of them
/// takes all topics of the same length that this filter takes. Its wildcards become a name that no filter has.
pub(crate) fn standing_for(filter: &str, levels: usize) -> BTreeSet<String> {
    let Some(head) = filter.strip_suffix('#') else { return [filter.to_string()].into() };
    let head = head.trim_end_matches('/');
    let start: Vec<&str> = if head.is_empty() { Vec::new() } else { head.split('/').collect() };
    let lengths = start.len().max(1)..=levels.max(start.len()) + 1;
    let longer = |n: usize| [&start[..], &vec![ANY; n - start.len()][..]].concat().join("/");
    lengths.map(longer).collect()
}

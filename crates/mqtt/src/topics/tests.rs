//! Topic filters and templates.

use super::*;

fn matches(filter: &str, topic: &str) -> bool {
    TopicFilter::parse(filter).unwrap().matches(topic)
}

#[test]
fn filters_match_according_to_the_specification() {
    assert!(matches("a/#", "a") && matches("a/#", "a/b/c") && matches("#", "a/b"));
    assert!(matches("a/+", "a/") && matches("+/+", "/b") && matches("+", "a"));
    assert!(!matches("a/+", "a") && !matches("+", "/a") && !matches("a", "a/b") && !matches("a/b", "a"));
    assert!(!matches("#", "$SYS/x") && !matches("+/x", "$SYS/x"));
}

#[test]
fn invalid_filters_are_rejected() {
    for bad in ["", "a+/b", "a/#/b", "a#", "$share/g/a"] {
        assert!(TopicFilter::parse(bad).is_err(), "{bad}");
    }
}

#[test]
fn templates_fill_in_levels_and_reject_invalid_braces() {
    let template = Template::parse("rules-{2}.{1}").unwrap();
    assert_eq!((template.fill("a/b/c").as_str(), template.highest_level()), ("rules-b.a", 2));
    for bad in ["{", "}", "{0}", "{x}", "a{1"] {
        assert_eq!(Template::parse(bad), Err(TemplateError::Brace), "{bad}");
    }
}

use super::*;

#[test]
fn addresses_are_parsed_and_other_forms_are_rejected() {
    let location = Location::parse("http://127.0.0.1:5000/coop/north").unwrap();
    assert_eq!(location.repository("fare").unwrap(), "coop/north/fare");
    assert_eq!(location.url("x/tags/list?n=2").as_str(), "http://127.0.0.1:5000/v2/x/tags/list?n=2");
    assert_eq!(Location::parse("https://r"), Err(LocationError::Scheme("https".into())));
    for bad in ["", "r:5000", "http://u:p@r/", "http://r/?q", "http://r/UPPER", "http://r/a//b"] {
        assert!(Location::parse(bad).is_err(), "{bad}");
    }
}

#[test]
fn names_and_tags_follow_the_grammar_of_the_specification() {
    for good in ["a", "a/b", "a.b_c__d--e/f0", "0"] {
        assert!(is_repository(good), "{good}");
    }
    for bad in ["", "A", "a/", "/a", "a..b", "a___b", "-a", "a-", "a._b", "a/../b", "é"] {
        assert!(!is_repository(bad), "{bad}");
    }
    assert!(is_tag("1.0-rc_2") && is_tag("_") && !is_tag(".1") && !is_tag("") && !is_tag("a/b"));
    assert!(!is_tag(&"x".repeat(129)));
}

use super::*;

#[test]
fn the_four_forms_round_trip_and_other_texts_are_rejected() {
    let digest = Digest::of(b"");
    for text in ["fare", "north/fare", "fare@previous", "fare@1.2.3", &format!("fare@{digest}")] {
        assert_eq!(text.parse::<Reference>().unwrap().to_string(), text);
    }
    for bad in ["", "@current", "a//b", "../etc", "a b", "fare@", "fare@a/b", "fare@md5:00", "fare@sha256:1"]
    {
        assert!(bad.parse::<Reference>().is_err(), "{bad}");
    }
}

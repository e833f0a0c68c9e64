use super::*;

#[test]
fn challenges_are_parsed_with_quoted_strings() {
    let value = r#"Bearer realm="http://127.0.0.1:1/token",service="a, \"b\"" , scope="repository:x:pull""#;
    let challenge = Challenge::parse(value).unwrap();
    let url = challenge.token_url().unwrap();
    assert_eq!(url.as_str(), "http://127.0.0.1:1/token?service=a%2C+%22b%22&scope=repository%3Ax%3Apull");
    assert_eq!(Challenge::parse("basic realm=x"), Some(Challenge::Basic));
    for bad in ["", "Digest realm=x", "Bearer service=x", "Bearer realm=\"open"] {
        assert_eq!(Challenge::parse(bad), None, "{bad}");
    }
    assert_eq!(Challenge::parse("Bearer realm=file:///x").unwrap().token_url(), None);
}

#[test]
fn a_token_that_is_invalid_in_a_header_is_rejected() {
    assert_eq!(read_token(br#"{"token":"abc"}"#).as_deref(), Some("abc"));
    assert_eq!(read_token(br#"{"access_token":"d"}"#).as_deref(), Some("d"));
    for bad in [&br#"{"token":"a\r\nX: y"}"#[..], b"{}", b"", br#"{"token":""}"#] {
        assert_eq!(read_token(bad), None);
    }
}

#[test]
fn debug_output_does_not_contain_the_password() {
    let credentials = Credentials { user: "a".into(), password: "secret".into() };
    assert!(!format!("{credentials:?}").contains("secret"));
    assert_eq!(credentials.basic(), "Basic YTpzZWNyZXQ=");
}

//! Tests of the configuration parser: a valid file is accepted, an invalid one is rejected with the name of
//! the field.

use serde_json::{json, Value};
use slatevalve::{Effect, Micros};
use slatevalve_platform::config::Config;

fn valid() -> Value {
    json!({"name": "n3", "listen": "127.0.0.1:8443", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": 4096},
        "changelog": "127.0.0.1:4222", "known": {"seq": 0, "results": []},
        "settings": {"zones": ["a"], "categories": [{"name": "quote", "aim": 800.0, "deadline": 3000.0,
            "effect": "pure", "points": 2.0}], "limits": {"connect_timeout": 250.0, "streams_per_conn": 32}}})
}

#[test]
fn a_valid_configuration_is_parsed() {
    let config = Config::read(&valid().to_string()).unwrap();
    assert_eq!((config.seed, config.limits.sockets), (0x8c1f_30d2_7a5b_e964, 4096));
    let site = config.site;
    assert_eq!((site.settings.classes.len(), site.settings.classes[0].effect), (1, Effect::Idempotent));
    assert_eq!((site.connections.max_streams, site.connections.connect_timeout), (32, Micros(250_000)));
}

#[test]
fn an_error_names_the_invalid_field() {
    let cases: [(&str, Value, &str); 8] = [
        ("/listen", json!("nowhere"), "field 'listen' has the unknown value 'nowhere'"),
        ("/changelog", Value::Null, "field 'changelog' is missing"),
        ("/seed", json!("xyz"), "field 'seed' has the unknown value 'xyz'"),
        ("/known", json!(4), "'known' is not an object"),
        ("/limits/sockets", json!("many"), "limits: field 'sockets' is not a whole number"),
        (
            "/settings/categories/0/effect",
            json!("odd"),
            "settings: field 'effect' has the unknown value 'odd'",
        ),
        ("/settings/categories/0/aim", json!("soon"), "settings: field 'aim' is not a number"),
        ("/settings/zones", json!("a"), "settings: field 'zones' is not a list"),
    ];
    for (pointer, value, message) in cases {
        let mut config = valid();
        *config.pointer_mut(pointer).unwrap() = value;
        assert_eq!(Config::read(&config.to_string()).unwrap_err().to_string(), message);
    }
    assert!(Config::read("{").unwrap_err().to_string().starts_with("not a JSON object"));
}

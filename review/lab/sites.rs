//! The settings of the customers' deployments, with figures from the ranges of their site files.

/// Ride dispatch: `kyyti-central`.
pub fn kyyti_central(routers: u32) -> String {
    settings(
        &[
            r#"{"name":"fare-quote","effect":"pure","group":"all","key_ttl":5000,"aim":800,"deadline":3000,"points":2,"late_value":0.1,"stream":false}"#,
            r#"{"name":"ride-booking","effect":"token","group":"cell","key_ttl":6000,"aim":1500,"deadline":3000,"points":3,"late_value":0.1,"stream":false}"#,
            r#"{"name":"card-charge","effect":"side_effect","group":"all","key_ttl":5000,"aim":1200,"deadline":3000,"points":3,"late_value":0.3,"stream":false}"#,
        ],
        &["hall-a", "hall-b", "hall-c"],
        &["duo-15", "trio-10"],
        routers,
        r#""family_info":{"if_cold":"miss","may_order":true,"linger_idle":8000,"load_free":0,"load_ratio":0,"load_window":0,"load_wait":10000,"memory_mb_by_kind":[9152,13760],"price_of_idle":0.05,"says_warm":false,"tells_crowd":true},
        "limits":{"cancel":true,"conn_idle":15000,"connect_timeout":250,"max_attempts":3,"max_open":20000,"probes":true,"retry_after":false,"second_copies":true,"streams_per_conn":32},
        "rules":{"answer_slack":8,"drain_grace":250,"fall_multiple":3,"must_ask_in":10000,"overload_for":1000,"start_capacity":0.16,"warm_within":16000},
        "telemetry":{"columns":["backlog"],"via":"probe"},"weight_kind":"nominal","counted_by":"request""#,
    )
}

/// Form processing: `zaria-forms`.
pub fn zaria_forms(routers: u32) -> String {
    settings(
        &[
            r#"{"name":"field-check","effect":"pure","group":"all","key_ttl":5000,"aim":1000,"deadline":3000,"points":3,"late_value":0.2,"stream":false}"#,
            r#"{"name":"code-answer","effect":"token","group":"cell","key_ttl":2500,"aim":500,"deadline":2500,"points":2,"late_value":0.1,"stream":false}"#,
            r#"{"name":"household-count","effect":"side_effect","group":"all","key_ttl":5000,"aim":800,"deadline":3000,"points":2,"late_value":0.2,"stream":false}"#,
        ],
        &["north-block", "library-annex", "eng-block"],
        &["full-core", "slow-core"],
        routers,
        r#""family_info":{"if_cold":"miss","may_order":true,"linger_idle":8000,"load_free":0,"load_ratio":0,"load_window":0,"load_wait":10000,"memory_mb_by_kind":[9152,9152],"price_of_idle":0.05,"says_warm":false,"tells_crowd":false},
        "limits":{"cancel":true,"conn_idle":15000,"connect_timeout":250,"max_attempts":5,"max_open":20000,"probes":true,"retry_after":true,"max_retry_after":2000,"second_copies":false,"streams_per_conn":32},
        "rules":{"answer_slack":8,"drain_grace":2000,"fall_multiple":4,"must_ask_in":10000,"overload_for":1000,"start_capacity":0.17,"warm_within":17000},
        "telemetry":{"columns":["utilization"],"via":"answers"},"weight_kind":"rough","counted_by":"work""#,
    )
}

fn settings(classes: &[&str], zones: &[&str], kinds: &[&str], routers: u32, rest: &str) -> String {
    let quoted =
        |names: &[&str]| names.iter().map(|name| format!("\"{name}\"")).collect::<Vec<_>>().join(",");
    format!(
        r#"{{"categories":[{}],"zones":[{}],"my_zone":"{}","machine_types":[{}],"instances":{routers},"index":0,"layer":0,"step":2,
        "family":"warm","membership_mode":"automatic","tenants":[],"tiers":["workers"],"over_share_worth":0.1,
        "clients":{{"marks_retry":false}},"fees":{{"probe":0.01}},{rest}}}"#,
        classes.join(","),
        quoted(zones),
        zones[0],
        quoted(kinds)
    )
}

//! The platform's list of VMs with entries that cannot be decoded.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use googletest::prelude::*;
use mux_store::VmList;

const VALID: &str = r#"{"ip": "10.0.0.1", "ports": [9], "role": "node", "availability_zone": "a", "state": "live"}"#;

/// Nodes stopped following the whole list.
#[gtest]
fn odd_entry_of_the_list_costs_itself_alone() {
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let with_port = |port: &str| VALID.replace("[9]", &format!("[{port}]"));
    let odd = [
        with_port("70000"),
        with_port("0"),
        with_port("-1"),
        with_port("1e999"),
        with_port(&deep),
        VALID.replace("live", "odd"),
        VALID.replace("10.0.0.1", "nowhere"),
        deep.clone(),
        "null".to_owned(),
        "1e999".to_owned(),
        "{}".to_owned(),
    ];
    for it in odd {
        let list = VmList::from_json(&format!("{{\"vms\": [{it}, {VALID}]}}")).unwrap();

        expect_that!(list.vms.len(), eq(1), "{it:.80}");
        expect_that!(list.skipped, eq(1), "{it:.80}");
    }
}

#[gtest]
fn text_that_is_no_list_is_an_error() {
    for text in ["", "[]", "{\"vms\": 5}", "null"] {
        expect_that!(VmList::from_json(text).is_err(), eq(true), "{text}");
    }
}

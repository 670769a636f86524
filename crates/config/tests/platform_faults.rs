//! Changes and loads over HTTP, with a test double of the platform's key-value store in the test
//! process.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;
#[path = "../../standins/src/kv/mod.rs"]
#[allow(dead_code, reason = "the test double's command line is not part of this test")]
mod kv;

use std::time::Duration;

use googletest::prelude::*;
use mux_adapter::{KvClient, KvSettings};
use mux_config::{ChangeOutcome, ConfigLoader, ConfigReplica, ConfigWriter, read_audit};
use mux_model::Verdict;
use tokio::net::TcpListener;

use self::common::{REVISION_ZERO, contents, put, timer};

const CALL_LIMIT: Duration = Duration::from_secs(1);
const CHANGE_LIMIT: Duration = Duration::from_secs(3);

async fn kv_client(faults: kv::FaultPlan) -> KvClient {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let settings = kv::KvSettings { listen: address, faults, vms: Vec::new() };
    tokio::spawn(kv::serve(listener, settings));
    KvClient::new(timer(), KvSettings { address, call_timeout: CALL_LIMIT })
}

fn writer(store: &KvClient) -> ConfigWriter<KvClient> {
    ConfigWriter::new(store.clone(), timer(), CHANGE_LIMIT)
}

#[gtest]
#[tokio::test]
async fn change_is_committed_once_despite_lost_replies() {
    for lose_replies in 0..5 {
        let store = kv_client(kv::FaultPlan { lose_replies, ..Default::default() }).await;
        let outcome = writer(&store).apply(&put("c1", "shopfront", 0), REVISION_ZERO).await;
        expect_that!(outcome, ok(matches_pattern!(ChangeOutcome::Committed(_))), "{lose_replies}");
        expect_that!(
            read_audit(&store, REVISION_ZERO, 10).await.unwrap(),
            len(eq(1)),
            "{lose_replies}"
        );
        let mut replica = ConfigReplica::new();
        let loader = ConfigLoader::new(store);
        let loaded = loader.load(&replica.snapshot()).await.unwrap();
        replica.apply_update(&loaded.update.unwrap());
        expect_that!(contents(&replica), eq(&vec![("shopfront".to_owned(), 1)]));
    }
}

#[gtest]
#[tokio::test]
async fn change_is_not_committed_when_the_store_is_down_or_too_slow() {
    let down = kv::FaultPlan { down: true, ..Default::default() };
    let slow = kv::FaultPlan { delay_ms: 3_000, ..Default::default() };
    for faults in [down, slow] {
        let store = kv_client(faults).await;
        let error =
            writer(&store).apply(&put("c1", "shopfront", 0), REVISION_ZERO).await.unwrap_err();
        expect_that!(error.verdict(), eq(Verdict::NotRun), "{error}");
    }
}

#[gtest]
#[tokio::test]
async fn slow_store_within_the_call_limit_accepts_changes() {
    let store = kv_client(kv::FaultPlan { delay_ms: 100, ..Default::default() }).await;
    let outcome = writer(&store).apply(&put("c1", "shopfront", 0), REVISION_ZERO).await;
    expect_that!(outcome, ok(anything()));
}

//! Fixtures shared by the tests.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]
#![allow(dead_code, reason = "each test file uses its own part")]

use std::{net::SocketAddr, time::Duration};

use mux_config::{
    ChangeAction, ConfigReplica, ConfigWriter, ServiceChange, ServiceDefinition, UpstreamEntry,
};
use mux_model::{RevisionNumber, UpstreamId};
use mux_store::memory::MemoryStore;
use mux_timer::TimerService;

pub const REVISION_ZERO: RevisionNumber = RevisionNumber(0);

pub fn timer() -> TimerService {
    TimerService::start(Duration::from_secs(1))
}

pub fn store() -> MemoryStore {
    MemoryStore::new(timer())
}

pub fn writer(store: &MemoryStore) -> ConfigWriter<MemoryStore> {
    ConfigWriter::new(store.clone(), timer(), Duration::from_millis(400))
}

pub fn definition(name: &str) -> ServiceDefinition {
    let upstreams = (1..=3).map(|port| UpstreamEntry {
        address: UpstreamId(SocketAddr::from(([10, 0, 0, 1], port))),
        availability_zone: "muc-a".into(),
    });
    let mut definition: ServiceDefinition =
        serde_json::from_value(serde_json::json!({ "name": name, "upstreams": [] })).unwrap();
    definition.upstreams = upstreams.collect();
    definition
}

pub fn put(id: &str, service: &str, expected: u64) -> ServiceChange {
    ServiceChange {
        id: id.into(),
        operator: "ana".to_owned(),
        at_ms: 1_000,
        service: service.into(),
        expected: RevisionNumber(expected),
        action: ChangeAction::Put(Box::new(definition(service))),
    }
}

pub fn put_deadline(id: &str, service: &str, expected: u64, deadline_ms: u64) -> ServiceChange {
    let mut definition = definition(service);
    definition.deadline_ms = deadline_ms;
    let action = ChangeAction::Put(Box::new(definition));
    ServiceChange { action, ..put(id, service, expected) }
}

pub fn remove(id: &str, service: &str, expected: u64) -> ServiceChange {
    ServiceChange { action: ChangeAction::Remove, ..put(id, service, expected) }
}

/// Lists the names and revisions of a replica's services, sorted by name.
pub fn contents(replica: &ConfigReplica) -> Vec<(String, u64)> {
    let state = replica.snapshot();
    let mut contents: Vec<_> =
        state.services().map(|(name, it)| (name.to_string(), it.revision.0)).collect();
    contents.sort();
    contents
}

//! Registry of known upstreams, with entries read in any order.

use googletest::prelude::*;
use mux_model::{FastSet, InstanceId};
use mux_routing::balancer::{RecordChange, UpstreamPhase, UpstreamRecord, UpstreamRegistry};

use crate::fixtures::{OWN_ZONE, record, upstream};

fn registry(records: &[UpstreamRecord]) -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::default();
    for record in records {
        registry.on_record(record.clone());
    }
    registry
}

fn serving(registry: &UpstreamRegistry) -> Vec<String> {
    let services = registry.by_service();
    let records = services.values().flatten();
    let mut names: Vec<_> = records.map(|it| it.instance.as_str().to_owned()).collect();
    names.sort();
    names
}

fn name(idx: u16) -> InstanceId {
    InstanceId::from(format!("i-{idx}"))
}

#[gtest]
fn outdated_entries_are_ignored() {
    let draining =
        UpstreamRecord { phase: UpstreamPhase::Draining, sequence: 7, ..record(0, OWN_ZONE) };
    let restarted = UpstreamRecord { started_ms: 2_000, sequence: 1, ..record(0, OWN_ZONE) };
    let steps = [
        (record(0, OWN_ZONE), RecordChange::Added, true),
        (record(0, OWN_ZONE), RecordChange::Same, true),
        (draining.clone(), RecordChange::Changed, false),
        (record(0, OWN_ZONE), RecordChange::Outdated, false),
        (restarted, RecordChange::Changed, true),
        (draining, RecordChange::Outdated, true),
    ];
    let mut registry = UpstreamRegistry::default();
    for (idx, (record, change, serves)) in steps.into_iter().enumerate() {
        expect_that!(registry.on_record(record), eq(change), "step {idx}");
        expect_that!(serving(&registry).len(), eq(usize::from(serves)), "step {idx}");
    }
}

#[gtest]
fn removal_is_immediate_unless_writer_may_be_alive() {
    let mut registry = registry(&[record(0, OWN_ZONE), record(1, OWN_ZONE)]);

    expect_that!(registry.on_removed(&name(0), false), eq(true));
    expect_that!(registry.on_removed(&name(1), true), eq(false));

    expect_that!(serving(&registry), eq(&vec!["i-1".to_owned()]));
    expect_that!(registry.drop_missing(), eq(&vec![name(1)]));
    expect_that!(serving(&registry), is_empty());
}

#[gtest]
fn removed_draining_upstream_is_never_kept() {
    let draining =
        UpstreamRecord { phase: UpstreamPhase::Draining, sequence: 2, ..record(0, OWN_ZONE) };
    let mut registry = registry(&[draining]);

    expect_that!(registry.on_removed(&name(0), true), eq(true));
    expect_that!(registry.is_empty(), eq(true));
}

#[gtest]
fn reappearing_entry_is_no_longer_missing() {
    let mut registry = registry(&[record(0, OWN_ZONE)]);
    registry.on_listing(&FastSet::default(), true);

    let change = registry.on_record(record(0, OWN_ZONE));

    expect_that!(change, eq(RecordChange::Changed));
    expect_that!(registry.has_missing(), eq(false));
    expect_that!(registry.drop_missing(), is_empty());
}

#[gtest]
fn listing_removes_unlisted_entries() {
    let mut registry = registry(&[record(0, OWN_ZONE), record(1, OWN_ZONE)]);
    let listed: FastSet<_> = [name(1)].into_iter().collect();

    let removed = registry.on_listing(&listed, false);

    expect_that!(removed, eq(&vec![name(0)]));
    expect_that!(serving(&registry), eq(&vec!["i-1".to_owned()]));
}

#[gtest]
fn missing_instance_is_dropped_if_its_address_is_reused() {
    let mut registry = registry(&[record(0, OWN_ZONE)]);
    registry.on_removed(&name(0), true);
    let successor = UpstreamRecord { upstream: upstream(0), ..record(1, OWN_ZONE) };

    registry.on_record(successor);

    expect_that!(serving(&registry), eq(&vec!["i-1".to_owned()]));
}

#[gtest]
fn misdirected_instance_is_unused_until_a_newer_entry() {
    let mut registry = registry(&[record(0, OWN_ZONE)]);

    expect_that!(registry.on_misdirected(&name(0), upstream(0)), eq(true));
    expect_that!(registry.on_misdirected(&name(0), upstream(0)), eq(false));
    expect_that!(serving(&registry), is_empty());

    registry.on_record(UpstreamRecord { sequence: 2, ..record(0, OWN_ZONE) });

    expect_that!(serving(&registry).len(), eq(1));
}

/// A rejection by another instance at the former address of an upstream arrives after the upstream was
/// read at its new one. The upstream stayed unused until its entry changed again.
#[gtest]
fn misdirected_call_to_a_former_address_says_nothing_about_the_new_one() {
    let mut registry = registry(&[record(0, OWN_ZONE)]);
    let moved = UpstreamRecord { sequence: 2, upstream: upstream(5), ..record(0, OWN_ZONE) };
    registry.on_record(moved);

    expect_that!(registry.on_misdirected(&name(0), upstream(0)), eq(false));

    expect_that!(serving(&registry).len(), eq(1));
}

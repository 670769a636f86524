//! The copy of the store that other nodes read.

use std::net::SocketAddr;

use googletest::prelude::*;
use mux_edge::{
    MirrorUpdate, StoreChange, StoreEntry, StoreEra, StoreKey, StoreMirror, StoreRevision,
};
use mux_model::NodeId;
use mux_placement::NodeRecord;

fn node(idx: u16) -> NodeId {
    NodeId::from(format!("node-{idx}"))
}

fn written(idx: u16, link_mbps: f64) -> StoreChange {
    StoreChange::Written(StoreEntry::Node(NodeRecord {
        node: node(idx),
        availability_zone: "a".into(),
        region: "r".to_owned(),
        callers: SocketAddr::from(([10, 0, 0, 1], idx)),
        link_mbps,
        relay_endpoint: None,
        is_cut: false,
    }))
}

fn removed(idx: u16) -> StoreChange {
    StoreChange::Removed(StoreKey::Node(node(idx)))
}

fn at(revision: u64) -> StoreRevision {
    StoreRevision { era: StoreEra(1), revision }
}

fn mirror_of(nodes: u16, revision: u64) -> StoreMirror {
    let mut mirror = StoreMirror::default();
    let changes: Vec<_> = (0..nodes).map(|it| written(it, 1.0)).collect();
    mirror.on_listing(&changes, at(revision));
    mirror
}

fn update_after(mirror: &StoreMirror, revision: u64) -> MirrorUpdate {
    mirror.changes_after(Some(at(revision))).unwrap_or_else(|| panic!("nothing after {revision}"))
}

#[gtest]
fn empty_copy_has_nothing_to_read() {
    let mut mirror = StoreMirror::default();

    mirror.on_changes(&[written(0, 1.0)], at(5));

    expect_that!(mirror.revision(), none());
    expect_that!(mirror.changes_after(None), none());
}

#[gtest]
fn reader_without_a_position_receives_all_live_entries() {
    let mut mirror = mirror_of(3, 10);
    mirror.on_changes(&[removed(1)], at(11));

    let update = mirror.changes_after(None);

    let expected = MirrorUpdate {
        is_listing: true,
        changes: vec![written(0, 1.0), written(2, 1.0)],
        revision: at(11),
    };
    let mut update = update.unwrap_or_else(|| panic!("no update"));
    update.changes.sort_by_key(|it| format!("{it:?}"));
    expect_that!(update, eq(&expected));
}

#[gtest]
fn reader_receives_the_latest_change_of_each_key_after_its_position() {
    let mut mirror = mirror_of(3, 10);
    mirror.on_changes(&[written(0, 2.0), written(1, 2.0)], at(12));
    mirror.on_changes(&[written(0, 3.0), removed(2)], at(14));

    let update = update_after(&mirror, 12);

    expect_that!(update.is_listing, eq(false));
    expect_that!(update.revision, eq(at(14)));
    expect_that!(update.changes, unordered_elements_are![eq(&written(0, 3.0)), eq(&removed(2))]);
    expect_that!(mirror.changes_after(Some(at(14))), none());
}

/// A node that lists the store after a dropped history must pass on what it missed to readers that
/// have got a position beyond the missed changes from another node.
#[gtest]
fn differences_found_by_a_listing_reach_readers_at_any_position() {
    let mut mirror = mirror_of(3, 10);

    mirror.on_listing(&[written(0, 1.0), written(1, 2.0)], at(20));

    let update = update_after(&mirror, 19);
    expect_that!(update.changes, unordered_elements_are![eq(&written(1, 2.0)), eq(&removed(2))]);
}

#[gtest]
fn older_listing_and_older_changes_are_ignored() {
    let mut mirror = mirror_of(2, 10);

    mirror.on_listing(&[], at(9));
    mirror.on_changes(&[removed(0)], at(8));

    expect_that!(mirror.revision(), some(eq(at(10))));
    expect_that!(update_after(&mirror, 9).changes.len(), eq(2));
}

/// Removals are remembered up to a limit; a reader from before it must not keep removed entries.
#[gtest]
fn reader_from_before_forgotten_removals_receives_all_entries() {
    let mut mirror = mirror_of(1, 10);
    for idx in 1..=3_000_u16 {
        let revision = 10 + 2 * u64::from(idx);
        mirror.on_changes(&[written(idx, 1.0)], at(revision - 1));
        mirror.on_changes(&[removed(idx)], at(revision));
    }

    expect_that!(update_after(&mirror, 100).is_listing, eq(true));
    expect_that!(update_after(&mirror, 100).changes.len(), eq(1));
    expect_that!(update_after(&mirror, 6_000).is_listing, eq(false));
}

/// A reader whose position belongs to an earlier era may lack entries that the copy shows as
/// unchanged.
#[gtest]
fn reader_of_an_earlier_era_receives_all_entries() {
    let mut mirror = mirror_of(3, 10);
    let restored = StoreRevision { era: StoreEra(2), revision: 6 };
    mirror.on_listing(&[written(0, 1.0), written(1, 1.0)], restored);

    let update = update_after(&mirror, 40);

    expect_that!(update.is_listing, eq(true));
    expect_that!(update.changes.len(), eq(2));
    expect_that!(update.revision, eq(restored));
    expect_that!(mirror.changes_after(Some(restored)), none());
}

#[gtest]
fn changes_of_another_era_are_ignored() {
    let mut mirror = mirror_of(3, 10);

    mirror.on_changes(&[removed(1)], StoreRevision { era: StoreEra(2), revision: 20 });
    mirror.on_listing(&[], StoreRevision { era: StoreEra(0), revision: 99 });

    expect_that!(mirror.revision(), some(eq(at(10))));
    expect_that!(mirror.changes_after(None).map(|it| it.changes.len()), some(eq(3)));
}

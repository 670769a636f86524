//! Choice of the pinned snapshot when upstreams change, lag or report wrong data.

mod fixtures;

use std::sync::Arc;

use fixtures::{millis, upstream};
use googletest::prelude::*;
use mux_model::{ShardIndex, SnapshotId, SnapshotMap};
use mux_query::{SnapshotCatalog, SnapshotClaim};

/// Upstream, snapshot, claimed shard count, and shards held.
type Claim = (u32, u64, u32, &'static [u32]);

#[gtest]
fn newest_complete_snapshot_is_pinned() {
    let old: [Claim; 2] = [(0, 40, 2, &[0, 1]), (1, 40, 2, &[0, 1])];
    let cases: [(&str, &[Claim], u64); 5] = [
        ("only one", &[], 40),
        ("newer incomplete", &[(2, 41, 3, &[0, 1]), (3, 41, 3, &[1])], 40),
        ("newer complete", &[(2, 41, 3, &[0, 1]), (3, 41, 3, &[2])], 41),
        ("newer at a single upstream", &[(2, 99, 1, &[0])], 40),
        ("shard number beyond the claimed count", &[(2, 41, 1, &[0, 2]), (3, 41, 1, &[0])], 40),
    ];

    for (name, newer, expected) in cases {
        let catalog = catalog(&[&old, newer].concat());

        let pinned = catalog.pin(1.0, &[]).map(|it| it.snapshot());

        expect_that!(pinned, some(eq(SnapshotId(expected))), "{name}");
    }
}

#[gtest]
fn highest_share_is_pinned_when_none_is_complete() {
    let catalog = catalog(&[
        (0, 40, 4, &[0, 1, 2]),
        (1, 40, 4, &[0, 1, 2]),
        (2, 41, 4, &[0, 1]),
        (3, 41, 4, &[0, 1]),
    ]);

    expect_that!(pin(&catalog, 1.0), some(eq((40, 3, 4))));
    expect_that!(pin(&catalog, 0.5), some(eq((41, 2, 4))));
}

#[gtest]
fn understated_shard_count_never_raises_coverage() {
    for claims in [
        [(0, 40, 4, &[0, 1][..]), (1, 40, 2, &[0, 1])],
        [(0, 40, 2, &[0, 1][..]), (1, 40, 4, &[0, 1])],
    ] {
        let mut catalog = catalog(&claims);
        catalog.remove_upstream(upstream(0));

        let pinned = pin(&catalog, 1.0);

        expect_that!(pinned, some(eq((40, 2, 4))), "{claims:?}");
        expect_that!(catalog.shard_count(SnapshotId(40)), some(eq(4)));
    }
}

#[gtest]
fn claim_above_the_maximum_shard_count_is_ignored() {
    let catalog = catalog(&[(0, 40, 65_537, &[0]), (1, 40, 2, &[65_536])]);

    expect_that!(catalog.pin(0.0, &[]), none());
}

#[gtest]
fn disproved_claim_is_ignored_temporarily() {
    let mut catalog = catalog(&[(0, 40, 1, &[0]), (1, 40, 1, &[0])]);

    catalog.on_missing(millis(100), upstream(0), SnapshotId(40));
    let stale: Vec<_> = catalog.stale_sources().collect();
    let after_refusal = replicas(&catalog);
    report_status(&mut catalog, 200, &[(0, 40, 1, &[0])]);
    let before_expiry = replicas(&catalog);
    report_status(&mut catalog, 5_100, &[(0, 40, 1, &[0])]);
    let after_expiry = replicas(&catalog);

    expect_that!(stale, eq(&vec![upstream(0)]));
    expect_that!([after_refusal, before_expiry], eq([1, 1]));
    expect_that!(after_expiry, eq(2));
    expect_that!(catalog.stale_sources().count(), eq(0));
}

#[gtest]
fn reply_with_an_unknown_snapshot_makes_the_status_stale() {
    let mut catalog = catalog(&[(0, 40, 1, &[0])]);

    catalog.on_newest(millis(100), upstream(0), SnapshotId(40));
    let before = catalog.stale_sources().count();
    catalog.on_newest(millis(101), upstream(0), SnapshotId(41));

    expect_that!(before, eq(0));
    expect_that!(catalog.stale_sources().count(), eq(1));
}

#[gtest]
fn unresponsive_upstreams_do_not_block_a_new_snapshot() {
    let claims: [Claim; 3] = [(0, 40, 1, &[0]), (1, 40, 1, &[0]), (2, 41, 1, &[0])];
    let mut silent = catalog(&claims);
    report_status(&mut silent, 10_000, &claims[2..]);
    let mut unreachable = catalog(&claims);
    unreachable.on_unreachable(upstream(0));
    unreachable.on_unreachable(upstream(1));

    expect_that!(pin(&catalog(&claims), 1.0), some(eq((40, 1, 1))));
    expect_that!(pin(&silent, 1.0), some(eq((41, 1, 1))));
    expect_that!(pin(&unreachable, 1.0), some(eq((41, 1, 1))));
}

#[gtest]
fn excluded_snapshot_is_not_pinned() {
    let catalog = catalog(&[(0, 40, 1, &[0]), (0, 41, 1, &[0])]);

    let pinned = catalog.pin(1.0, &[SnapshotId(41)]).map(|it| it.snapshot());

    expect_that!(pinned, some(eq(SnapshotId(40))));
    expect_that!(catalog.pin(1.0, &[SnapshotId(40), SnapshotId(41)]), none());
}

#[gtest]
fn sufficient_snapshot_meets_the_target_and_has_two_holders() {
    let catalog = catalog(&[
        (0, 40, 2, &[0]),
        (1, 40, 2, &[1]),
        (0, 41, 2, &[0]),
        (1, 41, 2, &[0]),
        (1, 42, 2, &[0, 1]),
    ]);

    let found = [40, 41, 42].map(|snapshot| {
        let others: Vec<_> = (40..43).filter(|it| *it != snapshot).map(SnapshotId).collect();
        catalog.has_sufficient_snapshot(1.0, &others)
    });

    expect_that!(found, eq([true, false, false]));
}

#[gtest]
fn unchanged_status_keeps_the_map() {
    let claims: [Claim; 2] = [(0, 40, 1, &[0]), (1, 40, 1, &[0])];
    let mut catalog = catalog(&claims);
    let before = catalog.pin(1.0, &[]).unwrap();

    report_status(&mut catalog, 1_000, &claims);

    expect_that!(Arc::ptr_eq(&before, &catalog.pin(1.0, &[]).unwrap()), eq(true));
}

#[gtest]
fn fixed_map_is_not_changed_by_upstreams() {
    let map = SnapshotMap::new(SnapshotId(7), vec![vec![upstream(0)], Vec::new()]);
    let mut catalog = SnapshotCatalog::fixed(map);

    report_status(&mut catalog, 100, &[(0, 8, 1, &[0]), (1, 8, 1, &[0])]);
    catalog.on_missing(millis(100), upstream(0), SnapshotId(7));

    expect_that!(pin(&catalog, 1.0), some(eq((7, 1, 2))));
}

fn catalog(claims: &[Claim]) -> SnapshotCatalog {
    let mut catalog = SnapshotCatalog::learned();
    report_status(&mut catalog, 0, claims);
    catalog
}

/// Reports one status for each upstream named in `claims`.
fn report_status(catalog: &mut SnapshotCatalog, now: u64, claims: &[Claim]) {
    for number in 0..8 {
        let held: Vec<Claim> = claims.iter().filter(|it| it.0 == number).copied().collect();
        if held.is_empty() {
            continue;
        }
        let shards: Vec<Vec<ShardIndex>> =
            held.iter().map(|it| it.3.iter().copied().map(ShardIndex).collect()).collect();
        let status = held.iter().zip(&shards).map(|(it, shards)| SnapshotClaim {
            snapshot: SnapshotId(it.1),
            shard_count: it.2,
            shards,
        });
        catalog.on_status(millis(now), upstream(number), status);
    }
}

/// Returns the pinned snapshot with its numbers of located and total shards.
fn pin(catalog: &SnapshotCatalog, coverage_target: f64) -> Option<(u64, u32, u32)> {
    let map = catalog.pin(coverage_target, &[])?;

    Some((map.snapshot().0, map.located_count(), map.shard_count()))
}

fn replicas(catalog: &SnapshotCatalog) -> usize {
    catalog.pin(1.0, &[]).map_or(0, |it| it.replicas(ShardIndex(0)).len())
}

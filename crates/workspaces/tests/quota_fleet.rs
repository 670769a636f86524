//! Quotas over several nodes: the bound that holds over all of them, and the requests below it.

mod fleet;

use fleet::{BOUNDS, Fleet, most_allowed, rule};
use googletest::prelude::*;
use mux_model::TimePoint;
use mux_workspaces::{KeyDigest, QuotaTable, QuotaVerdict, WorkspaceDirectory, WorkspaceRule};

const NODES: usize = 7;

/// Without grants of the other nodes, one node alone would refuse six in seven requests.
#[gtest]
fn workspace_whose_requests_reach_one_node_may_use_its_whole_quota() {
    let quota = rule("w", 100.0, 50.0);
    let mut fleet = Fleet::new(NODES, std::slice::from_ref(&quota));
    fleet.advance(10.0);

    fleet.press(&quota.name, 100.0, 30.0, |_| 3);

    expect_that!(fleet.refusals(&quota.name), eq(0));
}

/// A burst at one node needs the unused grants of all the others at the same moment.
#[gtest]
fn burst_at_one_node_is_admitted_whole() {
    let quota = rule("w", 40.0, 60.0);
    let mut fleet = Fleet::new(NODES, std::slice::from_ref(&quota));
    fleet.advance(10.0);

    for _ in 0..60 {
        fleet.send(2, &quota.name);
    }

    expect_that!(fleet.refusals(&quota.name), eq(0));
}

/// Callers that leave a zone must not wait until the grants of its nodes are those of the other zone.
#[gtest]
fn workspace_that_moves_from_zone_to_zone_is_not_refused() {
    let quota = rule("w", 100.0, 50.0);
    let mut fleet = Fleet::new(12, std::slice::from_ref(&quota));
    fleet.advance(10.0);

    for zone in [0, 1, 2, 0, 2, 1] {
        fleet.press(&quota.name, 95.0, 6.0, |it| zone * 4 + it.below(4));
    }

    expect_that!(fleet.refusals(&quota.name), eq(0));
}

/// One workspace at seven times its usual load must not cost others their quota, nor lose its own.
#[gtest]
fn hot_workspace_gets_its_quota_and_small_ones_beside_it_are_not_refused() {
    let hot = rule("hot", 60.0, 30.0);
    let small: Vec<_> = (0..80).map(|it| rule(&format!("small-{it}"), 4.0, 8.0)).collect();
    let rules: Vec<_> = [hot.clone()].into_iter().chain(small.clone()).collect();
    let mut fleet = Fleet::new(NODES, &rules);
    fleet.advance(10.0);

    for round in 0..4_000 {
        // 420 a second of the hot workspace, and 3 a second of each small one.
        for _ in 0..420 / 200 {
            let node = fleet.randoms.below(NODES);
            fleet.send(node, &hot.name);
        }
        if round % 67 == 0 {
            for quota in &small {
                let node = fleet.randoms.below(NODES);
                fleet.send(node, &quota.name);
            }
        }
        fleet.advance(0.005);
    }

    expect_that!(fleet.most_in_window(&hot.name, TimePoint::ZERO), le(most_allowed(&hot)));
    expect_that!(fleet.served(&hot.name), ge(60 * 20));
    for quota in &small {
        expect_that!(fleet.refusals(&quota.name), eq(0), "{}", quota.name);
    }
}

/// A process that starts does not know what the one before it used.
#[gtest]
fn restart_of_all_nodes_under_full_load_stays_within_the_bound() {
    for (rate, burst) in [(100.0, 100.0), (20.0, 5.0), (1.0, 2.0)] {
        let quota = rule("w", rate, burst);
        let mut fleet = Fleet::new(NODES, std::slice::from_ref(&quota));
        fleet.advance(60.0);
        fleet.press(&quota.name, rate * 4.0, 8.0, |it| it.below(NODES));

        fleet.restart();
        fleet.press(&quota.name, rate * 4.0, 8.0, |it| it.below(NODES));

        let most = fleet.most_in_window(&quota.name, TimePoint::ZERO);
        expect_that!(most, le(most_allowed(&quota)), "{rate}");
    }
}

/// A process that starts divides quotas by the few nodes that it knows, and by more a moment later.
#[gtest]
fn share_that_changes_adds_no_grants() {
    let quota = rule("w", 100.0, 100.0);
    for shares in [[1.0, 1.0 / 28.0, 1.0 / 28.0], [0.25 / 28.0, 0.25 / 28.0, 1.0 / 28.0]] {
        let mut fleet = Fleet::new(28, std::slice::from_ref(&quota));
        fleet.set_shares(shares[0]);
        fleet.restart();
        fleet.set_shares(shares[1]);
        // Each node has made its schedule with that share.
        for node in 0..28 {
            fleet.send(node, &quota.name);
        }
        fleet.set_shares(shares[2]);

        let before = fleet.served(&quota.name);
        for node in (0..28).cycle().take(2_800) {
            fleet.send(node, &quota.name);
        }

        // Half of the slack is saved at the start.
        expect_that!(before, le(20));
        expect_that!(fleet.served(&quota.name), le(20), "{shares:?}");
    }
}

/// Grants that were saved under the former limit must not be used under the lower one.
#[gtest]
fn limit_that_falls_far_below_the_load_binds_at_once() {
    let high = rule("w", 200.0, 300.0);
    let low = rule("w", 5.0, 5.0);
    let mut fleet = Fleet::new(NODES, &[high]);
    fleet.advance(20.0);
    fleet.press(&low.name, 20.0, 10.0, |it| it.below(NODES));

    fleet.set_rules(std::slice::from_ref(&low));
    let changed_at = fleet.now;
    fleet.press(&low.name, 200.0, 15.0, |it| it.below(NODES));

    expect_that!(fleet.most_in_window(&low.name, changed_at), le(most_allowed(&low)));
    expect_that!(fleet.served(&low.name), ge(200 + 5 * 15));
}

/// A limit that changes again and again must not make grants.
#[gtest]
fn limit_that_changes_often_forgives_nothing() {
    let quotas = [rule("w", 50.0, 20.0), rule("w", 60.0, 20.0)];
    let mut fleet = Fleet::new(NODES, &quotas[..1]);
    fleet.advance(10.0);

    for change in 0..200 {
        fleet.set_rules(std::slice::from_ref(&quotas[change % 2]));
        fleet.press(&quotas[0].name, 300.0, 0.1, |it| it.below(NODES));
    }

    let most = fleet.most_in_window(&quotas[0].name, TimePoint::ZERO);
    expect_that!(most, le(most_allowed(&quotas[1])));
}

/// A node without its peers goes on with its share, and the others do not use that share.
#[gtest]
fn node_cut_from_its_peers_uses_its_share_and_no_more() {
    let quota = rule("w", 70.0, 35.0);
    let mut fleet = Fleet::new(NODES, std::slice::from_ref(&quota));
    fleet.cut(0);
    fleet.advance(20.0);

    let mut served_by_cut = 0;
    for _ in 0..6_000 {
        served_by_cut += usize::from(fleet.send(0, &quota.name));
        let other = 1 + fleet.randoms.below(NODES - 1);
        fleet.send(other, &quota.name);
        fleet.advance(0.005);
    }

    let most = fleet.most_in_window(&quota.name, TimePoint::ZERO);
    expect_that!(most, le(most_allowed(&quota)));
    expect_that!(served_by_cut, all![ge(10 * 30), le(11 * 30 + 8)]);
}

/// Each node's own share of a tiny quota is one request in minutes. As the nodes' grants fall due at
/// random, a load close to the quota meets a short time with few of them now and then.
#[gtest]
fn tiny_quotas_at_many_nodes_are_not_exceeded_and_hardly_refused_below() {
    for (load, most_refused) in [(1.6, 0.0), (1.9, 0.03)] {
        let quota = rule("w", 2.0, 5.0);
        let mut fleet = Fleet::new(100, std::slice::from_ref(&quota));
        fleet.advance(600.0);

        fleet.press(&quota.name, load, 120.0, |it| it.below(100));
        let refused = fleet.refusals(&quota.name) as f64 / (load * 120.0);
        fleet.press(&quota.name, 40.0, 60.0, |it| it.below(100));

        expect_that!(refused, le(most_refused), "{load}");
        let most = fleet.most_in_window(&quota.name, TimePoint::ZERO);
        expect_that!(most, le(most_allowed(&quota)));
    }
}

/// A key must not be shown by the debug output of what holds it, and belongs to one workspace.
#[gtest]
fn directory_finds_workspaces_by_key_without_keeping_keys() {
    let keys = |keys: &[&str]| keys.iter().map(|it| KeyDigest::of_key(it.as_bytes())).collect();
    let rules = [
        WorkspaceRule { keys: keys(&["secret-1", "secret-2"]), ..rule("w", 1.0, 1.0) },
        WorkspaceRule { keys: keys(&["secret-2", "secret-3"]), ..rule("v", 1.0, 1.0) },
    ];

    let directory = WorkspaceDirectory::new(&rules);

    let find = |key: &str| {
        let found = directory.find(&KeyDigest::of_key(key.as_bytes()));
        found.map(|it| it.name.as_str().to_owned())
    };
    expect_that!(find("secret-1"), some(eq("w")));
    expect_that!(find("secret-2"), some(eq("w")));
    expect_that!(find("secret-3"), some(eq("v")));
    expect_that!(find("secret-4"), none());
    expect_that!((directory.len(), directory.ambiguous_keys()), eq((2, 1)));
    expect_that!(format!("{directory:?} {rules:?}"), not(contains_substring("secret")));
}

/// The grant of a request that no upstream has run is not lost, and a removed workspace leaves none.
#[gtest]
fn grant_that_was_not_needed_is_available_again() {
    let quota = rule("w", 1.0, 0.0);
    let (mut table, now) = (QuotaTable::new(Some(BOUNDS), 1.0, 1), TimePoint::from_millis(1_000));
    table.set_workspaces(now, std::slice::from_ref(&quota));
    let used = |table: &mut QuotaTable| {
        (0..100).filter(|_| table.admit(now, &quota.name) == QuotaVerdict::Admitted).count()
    };
    let before = used(&mut table);

    table.return_grant(&quota.name);
    let returned = used(&mut table);
    let removed = table.set_workspaces(now, &[]);

    expect_that!((before, returned), eq((10, 1)));
    expect_that!(removed, elements_are![eq(&quota.name)]);
    expect_that!(table.lend(now, &quota.name, 5), eq(0));
    expect_that!(used(&mut table), eq(0));
}

/// Grants that expired or were lent must not come back after a long quiet time.
#[gtest]
fn quiet_time_saves_no_more_than_the_burst() {
    let quota = rule("w", 30.0, 40.0);
    let mut fleet = Fleet::new(NODES, std::slice::from_ref(&quota));
    fleet.press(&quota.name, 30.0, 5.0, |it| it.below(NODES));
    fleet.advance(3_600.0);
    let from = fleet.now;

    fleet.press(&quota.name, 1_000.0, 5.0, |it| it.below(NODES));

    expect_that!(fleet.most_in_window(&quota.name, from), le(most_allowed(&quota)));
}

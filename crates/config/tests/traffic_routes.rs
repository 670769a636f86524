//! Route lookup, the active version of the routes, and weighted splits.

use std::time::Duration;

use googletest::prelude::*;
use mux_config::traffic::{
    ActivationOutcome, ActiveRoutes, ExecutionSemantics, RequestLimits, RouteDiff, RouteRule,
    RouteTable, RouteTarget, TrafficConfig, WeightedRoundRobin, WeightedService,
};
use mux_model::{FastMap, RevisionNumber, ServiceName};

fn rule(host: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        execution: ExecutionSemantics::Idempotent,
        time_limit: Duration::from_millis(800),
        latency_target: Duration::from_millis(80),
        rank: 1,
        max_calls: 2,
        is_key_exempt: false,
        target: RouteTarget::Service(ServiceName::from("orders")),
    }
}

fn config(version: u64, routes: Vec<RouteRule>) -> TrafficConfig {
    TrafficConfig {
        version: RevisionNumber(version),
        routes,
        connection_limits: FastMap::default(),
        warm_up_limits: FastMap::default(),
        request_limits: RequestLimits {
            header_bytes: 16_384,
            body_bytes: 262_144,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        workspaces: Vec::new(),
    }
}

fn parts(weights: &[f64]) -> Vec<WeightedService> {
    let part = |(idx, weight): (usize, &f64)| WeightedService {
        service: ServiceName::from(format!("part-{idx}")),
        weight: *weight,
    };
    weights.iter().enumerate().map(part).collect()
}

#[gtest]
fn longest_prefix_of_the_host_wins() {
    let routes =
        vec![rule("a.example", "/"), rule("a.example", "/x/"), rule("a.example", "/x/y/z/")];
    let table = RouteTable::new(&config(1, routes));
    let cases = [
        ("a.example", "/x/y/z/1", Some("/x/y/z/")),
        ("a.example", "/x/y/z/", Some("/x/y/z/")),
        ("a.example", "/x/y/z", Some("/x/")),
        ("a.example", "/x/y/1", Some("/x/")),
        ("a.example", "/x", Some("/")),
        ("a.example", "/xy/1", Some("/")),
        ("A.Example:8080", "/x/1", Some("/x/")),
        ("b.example", "/x/1", None),
        ("a.example", "", None),
        ("a.example", "x/", None),
        ("", "/", None),
    ];
    for (host, path, expected) in cases {
        let found = table.find(host, path).map(|it| it.prefix.as_str());

        expect_that!(found, eq(expected), "{host} {path}");
    }
}

#[gtest]
fn host_without_a_root_route_has_unrouted_paths() {
    let table = RouteTable::new(&config(1, vec![rule("a.example", "/x/")]));

    let found = table.find("a.example", "/y/1");

    expect_that!(found.is_none(), eq(true));
}

#[gtest]
fn active_version_never_decreases() {
    let mut active = ActiveRoutes::default();
    let activated =
        |from: Option<u64>| ActivationOutcome::Activated { from: from.map(RevisionNumber) };
    let steps = [
        (5, activated(None), 5),
        (5, ActivationOutcome::Same, 5),
        (9, activated(Some(5)), 9),
        (7, ActivationOutcome::Outdated, 9),
        (5, ActivationOutcome::Outdated, 9),
        (9, ActivationOutcome::Same, 9),
        (10, activated(Some(9)), 10),
    ];
    for (version, expected, active_version) in steps {
        let outcome = active.on_config(&config(version, vec![rule("a.example", "/")]));

        expect_that!(outcome, eq(expected), "version {version}");
        expect_that!(active.version(), some(eq(RevisionNumber(active_version))));
    }
}

#[gtest]
fn route_is_removed_with_the_version_that_omits_it() {
    let mut active = ActiveRoutes::default();
    active.on_config(&config(1, vec![rule("a.example", "/x/"), rule("a.example", "/y/")]));

    active.on_config(&config(2, vec![rule("a.example", "/x/")]));

    let table = active.table().expect("two versions were received");
    expect_that!(table.find("a.example", "/y/1").is_none(), eq(true));
    expect_that!(table.find("a.example", "/x/1").is_some(), eq(true));
}

#[gtest]
fn each_part_of_a_split_stays_within_two_requests_of_its_share() {
    for weights in [vec![1.0, 1.0], vec![7.0, 2.0, 1.0], vec![0.9, 0.1], vec![5.0, 0.0, 3.0]] {
        let split = parts(&weights);
        let total: f64 = weights.iter().sum();
        for offset in [0.0, 0.31, 0.77, 0.999] {
            let mut chooser = WeightedRoundRobin::new(&split, offset);
            let mut counts: FastMap<ServiceName, u32> = FastMap::default();
            for request in 1..=500_u32 {
                let chosen = chooser.choose().expect("a weight is positive").clone();
                *counts.entry(chosen).or_default() += 1;
                for part in &split {
                    let count = f64::from(counts.get(&part.service).copied().unwrap_or_default());
                    let share = f64::from(request) * part.weight / total;
                    // The offset can put one service one request ahead of its share.
                    expect_that!((count - share).abs(), le(2.0), "{weights:?} {offset} {request}");
                }
            }
        }
    }
}

#[gtest]
fn split_without_positive_weights_selects_no_service() {
    for weights in [vec![], vec![0.0], vec![0.0, 0.0]] {
        let mut chooser = WeightedRoundRobin::new(&parts(&weights), 0.4);

        expect_that!(chooser.choose(), none(), "{weights:?}");
    }
}

#[gtest]
fn diff_lists_added_removed_and_changed_routes() {
    let older = RouteTable::new(&config(1, vec![rule("a", "/x/"), rule("a", "/y/")]));
    let slower = RouteRule { time_limit: Duration::from_secs(9), ..rule("a", "/y/") };
    let newer = RouteTable::new(&config(2, vec![slower, rule("a", "/z/")]));

    let diff = RouteDiff::between(&older, &newer);

    expect_that!(diff.added, eq(&vec!["a/z/".to_owned()]));
    expect_that!(diff.removed, eq(&vec!["a/x/".to_owned()]));
    expect_that!(diff.changed, eq(&vec!["a/y/".to_owned()]));
    expect_that!(RouteDiff::between(&newer, &newer), eq(&RouteDiff::default()));
}

//! Which changed settings take effect in a running process.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use mux_edge::{EdgeSettings, ListenAddresses, ProcessLimits, RuntimeLimits, SettingsChange};
use mux_logs::LogSettings;
use mux_placement::NodeRecord;
use mux_routing::balancer::{RetryBudgetLimits, WarmUpBounds};
use mux_workspaces::QuotaBounds;

fn settings() -> EdgeSettings {
    let address = |port| SocketAddr::from(([10, 0, 0, 1], port));
    EdgeSettings {
        node: NodeRecord {
            node: "front-a-1".into(),
            availability_zone: "a".into(),
            region: "r".to_owned(),
            callers: address(1),
            link_mbps: 100.0,
            relay_endpoint: None,
            is_cut: false,
        },
        listen: ListenAddresses {
            callers: address(1),
            readiness: address(2),
            directory: address(3),
            relay: None,
            metrics: None,
        },
        limits: RuntimeLimits {
            process: ProcessLimits::default(),
            retry: RetryBudgetLimits { ratio: 0.2, window: Duration::from_secs(10), slack: 54.0 },
            max_address_lifetime: Duration::from_secs(5),
            stop_grace_period: Duration::from_secs(6),
            config_apply_limit: Duration::from_secs(3),
            drain_limit: Duration::from_secs(3),
            min_lease_lifetime: Duration::from_secs(1),
            evacuation: None,
            quota: None,
            warm_up: None,
        },
        logs: LogSettings::default(),
    }
}

/// Changes one setting of a node.
type Edit = fn(&mut EdgeSettings);

#[gtest]
fn limits_are_applied_and_other_settings_wait_for_the_next_start() {
    let cases: [(&str, bool, Edit); 12] = [
        ("limits of the process", true, |it| it.limits.process.memory_bytes = 1),
        ("retry budget", true, |it| it.limits.retry.ratio = 0.1),
        ("maximum address lifetime", true, |it| {
            it.limits.max_address_lifetime = Duration::from_secs(2);
        }),
        ("stop grace period", true, |it| it.limits.stop_grace_period = Duration::from_secs(9)),
        ("time limit of a configuration", true, |it| {
            it.limits.config_apply_limit = Duration::from_secs(6);
        }),
        ("minimum lease lifetime", true, |it| {
            it.limits.min_lease_lifetime = Duration::from_secs(2);
        }),
        ("evacuation of availability zones", true, |it| {
            it.limits.evacuation = Some(Duration::from_secs(5));
        }),
        ("quota bounds", true, |it| {
            let window = Duration::from_secs(5);
            it.limits.quota = Some(QuotaBounds { window, overage: 0.1, slack: 20.0 });
        }),
        ("bound on calls to cold upstreams", true, |it| {
            it.limits.warm_up = Some(WarmUpBounds { overage: 1.5, slack: 5.0 });
        }),
        ("node", false, |it| it.node.link_mbps = 45.0),
        ("listen addresses", false, |it| it.listen.readiness.set_port(9)),
        ("logs", false, |it| it.logs.level = mux_logs::LogLevel::Warning),
    ];
    for (name, is_applied, edit) in cases {
        let mut changed = settings();
        edit(&mut changed);

        let change = SettingsChange::between(&settings(), &changed);

        let (expected, other) = match is_applied {
            true => (&change.applied, &change.deferred),
            false => (&change.deferred, &change.applied),
        };
        expect_that!(expected, eq(&vec![name]));
        expect_that!(other, is_empty(), "{name}");
    }
}

#[gtest]
fn unchanged_settings_are_not_listed() {
    let change = SettingsChange::between(&settings(), &settings());

    expect_that!(change, eq(&SettingsChange::default()));
}

//! Deployments like those of the users' site files.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    client::{Kind, Outcome},
    fleet::{Fleet, ZONE},
    leaf::{Leaf, LeafPlan},
    record::Record,
};

pub const SHARDS: usize = 10;
const LEAFS_PER_SHARD: usize = 3;
/// `RecoveryS`
pub const RECOVERY: Duration = Duration::from_secs(12);
/// Time for which the processes of the system are down; the site file has 1.4 s at most.
pub const NODES_DOWN: Duration = Duration::from_millis(700);
/// Time after `RecoveryS` in which requests are counted.
pub const COUNTED: Duration = Duration::from_secs(8);

/// A kind of request of a site.
struct SiteKind {
    name: &'static str,
    path: &'static str,
    deadline_ms: u64,
    target_ms: u64,
    per_s: f64,
}

pub struct Site {
    kinds: [SiteKind; 3],
    shard_slots: u32,
    shard_connections: u32,
    shard_work_ms: f64,
    records: usize,
    single_leafs: usize,
    single_slots: u32,
    single_connections: u32,
    single_work_ms: f64,
}

/// `sites/kkw-shopsuche.toml`
pub fn kkw_shopsuche() -> Site {
    let kind = |name, path, deadline_ms, target_ms, per_s| SiteKind {
        name,
        path,
        deadline_ms,
        target_ms,
        per_s,
    };
    Site {
        kinds: [
            kind("catalogue-search", "/catalogue/", 800, 80, 135.0),
            kind("typeahead", "/typeahead/", 400, 40, 45.0),
            kind("order-lookup", "/orders/", 2_500, 250, 45.0),
        ],
        shard_slots: 2,
        shard_connections: 26,
        shard_work_ms: 7.5,
        records: 60,
        single_leafs: 7,
        single_slots: 3,
        single_connections: 100,
        single_work_ms: 60.0,
    }
}

impl Site {
    pub fn kinds(&self) -> Vec<Kind> {
        let kinds = self.kinds.iter().map(|it| Kind {
            name: it.name,
            host: "site.example",
            path: it.path,
            deadline: Duration::from_millis(it.deadline_ms),
            per_s: it.per_s,
        });
        kinds.collect()
    }

    /// Returns the first configuration.
    pub fn config(&self) -> String {
        let names: Vec<String> = (0..SHARDS).map(|it| format!("\"shard-{it}\"")).collect();
        let names = names.join(",");
        let service = |name: &str, connections: u32| {
            format!(
                "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":{connections},\
                 \"Protocol\":\"h1\",\"Tls\":false}}"
            )
        };
        let mut services: Vec<String> =
            (0..SHARDS).map(|it| service(&format!("shard-{it}"), self.shard_connections)).collect();
        services.push(service("single", self.single_connections));
        let route = |kind: &SiteKind, priority: u32, target: &str| {
            format!(
                "{{\"Name\":\"{}\",\"Host\":\"site.example\",\"Prefix\":\"{}\",\"RouteType\":\"idempotent\",\
                 \"TimeoutMs\":{},\"TargetLatencyMs\":{},\"Priority\":{priority},{target},\"MaxAttempts\":2}}",
                kind.name, kind.path, kind.deadline_ms, kind.target_ms
            )
        };
        let fanout = |top: u32, least: f64| {
            format!("\"Fanout\":[{names}],\"TopK\":{top},\"MinCoverage\":{least}")
        };
        let [whole, quick, single] = &self.kinds;
        let routes = [
            route(whole, 1, &fanout(10, 0.89)),
            route(quick, 2, &fanout(5, 0.75)),
            route(single, 2, "\"Service\":\"single\""),
        ];
        format!(
            "{{\"Version\":7,\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
             \"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
            routes.join(","),
            services.join(",")
        )
    }

    pub fn start_shard_leaf(
        &self,
        fleet: &mut Fleet,
        shard: usize,
        address: SocketAddr,
    ) -> Arc<Leaf> {
        fleet.start_leaf(LeafPlan {
            id: String::new(),
            service: format!("shard-{shard}"),
            address,
            zone: ZONE.to_owned(),
            slots: self.shard_slots,
            work: Duration::from_secs_f64(self.shard_work_ms / 1e3),
            handshake: Duration::from_millis(6),
            pause: Duration::from_millis(100),
            records: self.records,
        })
    }

    fn start_single_leaf(&self, fleet: &mut Fleet) {
        let address = fleet.new_address();
        fleet.start_leaf(LeafPlan {
            id: String::new(),
            service: "single".to_owned(),
            address,
            zone: ZONE.to_owned(),
            slots: self.single_slots,
            work: Duration::from_secs_f64(self.single_work_ms / 1e3),
            handshake: Duration::from_millis(1),
            pause: Duration::ZERO,
            records: 180,
        });
    }

    /// Starts all leafs, writes the configuration and starts the nodes; returns the leafs of each shard, the
    /// oldest first, or `None` if the nodes did not become ready.
    pub fn start(&self, fleet: &mut Fleet) -> Option<Vec<Vec<Arc<Leaf>>>> {
        let mut shards = Vec::new();
        for shard in 0..SHARDS {
            let mut leafs = Vec::new();
            for _ in 0..LEAFS_PER_SHARD {
                let address = fleet.new_address();
                leafs.push(self.start_shard_leaf(fleet, shard, address));
            }
            shards.push(leafs);
        }
        for _ in 0..self.single_leafs {
            self.start_single_leaf(fleet);
        }
        fleet.store.put("op/config", &self.config());
        fleet.start_nodes();
        if !fleet.wait_until_ready() {
            fleet.record.say("the nodes did not become ready");
            return None;
        }
        Some(shards)
    }

    /// Returns the share of the requests sent from `from` to `until` that were served.
    pub fn share(
        &self,
        record: &Record,
        name: &str,
        outcomes: &[Outcome],
        from: Duration,
        until: Duration,
    ) -> f64 {
        let sent: Vec<_> =
            outcomes.iter().filter(|it| from <= it.sent && it.sent < until).collect();
        let served = sent.iter().filter(|it| it.status == 200).count();
        for kind in &self.kinds {
            let of_kind: Vec<_> = sent.iter().filter(|it| it.kind == kind.name).collect();
            let served = of_kind.iter().filter(|it| it.status == 200).count();
            let count = of_kind.len();
            record.say(&format!("{name}: {} {served} of {count} served", kind.name));
        }
        record.say(&format!("{name}: {served} of {} requests served", sent.len()));
        served as f64 / sent.len().max(1) as f64
    }

    /// Returns the exit status of a case that checks RECOVER; the machines were back at `back_at`.
    pub fn check_recovery(
        &self,
        record: &Record,
        outcomes: &[Outcome],
        fault_at: Duration,
        back_at: Duration,
    ) -> i32 {
        let before = self.share(record, "before the fault", outcomes, Duration::ZERO, fault_at);
        let from = back_at + RECOVERY;
        let after = self.share(record, "later than RecoveryS", outcomes, from, from + COUNTED);
        if before < 0.25 {
            record.say("too little was served before the fault");
            return 2;
        }
        if after < 0.25 {
            record.say("RECOVER is broken: less than a quarter is served");
            return 1;
        }
        record.say("RECOVER held");
        0
    }
}

//! Addresses of crashed leafs go to leafs of other shards, and all processes of the system are killed.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    client::Clients,
    fleet::{Fleet, IdOrder, ZONE},
    record::Record,
    site::{kkw_shopsuche, COUNTED, RECOVERY, SHARDS},
};

/// `AddrReuseS`
const ADDRESS_REUSE: Duration = Duration::from_secs(2);
/// Three heartbeat intervals, less the time since the last heartbeat.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_500);
/// Number of shards that lose a leaf: 7 of 30 leafs.
const CRASHED: usize = 7;

pub fn run(record: &Record, trouble: bool) -> i32 {
    let site = kkw_shopsuche();
    let mut fleet = Fleet::start(record, 3, IdOrder::ByStart);
    let Some(shards) = site.start(&mut fleet) else {
        return 2;
    };
    thread::sleep(Duration::from_secs(2));
    let clients = Clients::start(&site.kinds(), &fleet.directories(), ZONE, record);
    thread::sleep(Duration::from_secs(8));
    let fault_at = record.elapsed();
    let mut crashed = Vec::new();
    if trouble {
        crashed.extend((SHARDS - CRASHED..SHARDS).map(|it| (it, Arc::clone(&shards[it][0]))));
        crashed.iter().for_each(|(_, leaf)| leaf.crash());
    }
    let crashed_at = record.elapsed();
    thread::sleep(ADDRESS_REUSE);
    for (idx, (shard, leaf)) in crashed.iter().enumerate() {
        site.start_shard_leaf(&mut fleet, idx % 3, leaf.plan.address);
        let address = fleet.new_address();
        site.start_shard_leaf(&mut fleet, *shard, address);
    }
    // TROUBLE=0 shows that the final fault alone is borne.
    fleet.kill_and_restart();
    let back_at = record.elapsed();
    thread::sleep((crashed_at + ENTRY_LIFETIME).saturating_sub(record.elapsed()));
    for (_, leaf) in &crashed {
        fleet.store.remove(&format!("servers/{}", leaf.plan.id));
    }
    if trouble {
        record.say("the entries of the crashed leafs have expired");
    }
    thread::sleep((back_at + RECOVERY + COUNTED).saturating_sub(record.elapsed()));
    let outcomes = clients.stop();
    site.check_recovery(record, &outcomes, fault_at, back_at)
}

//! Addresses of crashed leafs go to leafs of other shards, and all processes of the system are killed.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    client::Clients,
    fleet::{Fleet, IdOrder, ZONE},
    record::Record,
    site::{kkw_shopsuche, COUNTED, NODES_DOWN, RECOVERY, SHARDS},
};

/// `AddrReuseS`
const ADDRESS_REUSE: Duration = Duration::from_secs(2);
/// Time from the kill of the processes to the starts of the next leafs at the addresses.
const KILL_BEFORE_REUSE: Duration = Duration::from_millis(600);
/// Three heartbeat intervals, less the time since the last heartbeat.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_500);
/// Number of times that leafs crash, at the same moment.
const EVENTS: usize = 2;
/// Number of shards that lose a leaf each time: 7 of 30 leafs.
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
        for event in 0..EVENTS {
            for shard in SHARDS - CRASHED..SHARDS {
                let leaf = Arc::clone(&shards[shard][event]);
                leaf.crash();
                crashed.push((shard, leaf));
            }
        }
    }
    let crashed_at = record.elapsed();
    thread::sleep(ADDRESS_REUSE - KILL_BEFORE_REUSE);
    // TROUBLE=0 shows that the final fault alone is borne.
    fleet.kill_nodes();
    thread::sleep(KILL_BEFORE_REUSE);
    for (idx, (shard, leaf)) in crashed.iter().enumerate() {
        site.start_shard_leaf(&mut fleet, idx % 3, leaf.plan.address);
        let address = fleet.new_address();
        site.start_shard_leaf(&mut fleet, *shard, address);
    }
    thread::sleep(NODES_DOWN - KILL_BEFORE_REUSE);
    fleet.restart_nodes();
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

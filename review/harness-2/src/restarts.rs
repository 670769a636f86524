//! The leafs of all shards crash and come back at their addresses a few times, and all processes of the system
//! are killed.

use std::{thread, time::Duration};

use crate::{
    client::Clients,
    fleet::{Fleet, IdOrder, ZONE},
    record::Record,
    site::{kkw_shopsuche, COUNTED, NODES_DOWN, RECOVERY},
};

/// Times from the crashes to the kill of the processes.
const CRASHES_BEFORE: [Duration; 3] =
    [Duration::from_millis(1_500), Duration::from_millis(1_000), Duration::from_millis(500)];
/// Time for which a leaf is down.
const DOWN: Duration = Duration::from_millis(300);

pub fn run(record: &Record, trouble: bool) -> i32 {
    let site = kkw_shopsuche();
    let mut fleet = Fleet::start(record, 3, IdOrder::Random);
    let Some(shards) = site.start(&mut fleet) else {
        return 2;
    };
    thread::sleep(Duration::from_secs(2));
    let clients = Clients::start(&site.kinds(), &fleet.directories(), ZONE, record);
    thread::sleep(Duration::from_secs(8));
    let fault_at = record.elapsed();
    let kill_at = fault_at + CRASHES_BEFORE[0];
    let mut leafs: Vec<_> = shards.into_iter().enumerate().collect();
    for before in CRASHES_BEFORE {
        thread::sleep((kill_at - before).saturating_sub(record.elapsed()));
        if !trouble {
            continue;
        }
        for leaf in leafs.iter().flat_map(|it| &it.1) {
            leaf.crash();
            fleet.expire_entry(leaf);
        }
        thread::sleep(DOWN);
        for (shard, leafs) in &mut leafs {
            for leaf in leafs {
                *leaf = site.start_shard_leaf(&mut fleet, *shard, leaf.plan.address);
            }
        }
    }
    thread::sleep(kill_at.saturating_sub(record.elapsed()));
    // TROUBLE=0 shows that the final fault alone is borne.
    fleet.kill_nodes();
    thread::sleep(NODES_DOWN);
    fleet.restart_nodes();
    let back_at = record.elapsed();
    thread::sleep(RECOVERY + COUNTED);
    let outcomes = clients.stop();
    site.check_recovery(record, &outcomes, fault_at, back_at)
}

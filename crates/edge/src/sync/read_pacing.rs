//! How long a node waits between two reads of the store.

use std::time::Duration;

use rand::RngExt;

/// Wait time of a watch as a fraction of the time in which a configuration has to become active.
///
/// If the store compacts its history during a watch, the watch may miss earlier changes, and only
/// the next watch reports the compaction. A shorter wait costs more calls, and is not needed to
/// notice an outage: lease renewals do that, at a tenth of the cost of a watch call.
const WATCH_WAIT_FRACTION: f64 = 0.85;
/// Delay after an update in which further changes accumulate, so that a burst does not need a call
/// for each change; a small part of the seconds in which changes have to become active.
const BATCH_DELAY: Duration = Duration::from_millis(250);
/// Increase of [`BATCH_DELAY`] per announced node, which limits the load of all nodes on the store.
const BATCH_DELAY_PER_NODE: Duration = Duration::from_millis(12);
/// Maximum batch delay of a node that reads the store for others.
const MAX_BATCH_DELAY: Duration = Duration::from_secs(1);
/// Batch delay of a node that has no entry in the store, as a fraction of the time in which a
/// configuration has to become active; the rest is left for the call and, on a slow store, for a
/// second one.
const UNANNOUNCED_BATCH_FRACTION: f64 = 0.4;
/// Wait time of a watch of a node that has no entry in the store. Without lease renewals it does
/// not learn that the store is back, and a watch that a silent store has received never ends.
const UNANNOUNCED_WATCH_WAIT: Duration = Duration::from_millis(300);
/// Spread per announced node of the listings after the store was restored.
const LISTING_SPREAD_PER_NODE: Duration = Duration::from_millis(4);
/// Maximum spread of the listings after the store was restored.
const MAX_LISTING_SPREAD: Duration = Duration::from_millis(300);
/// Number of changes from which a reply may be only the first page of what the node lacks.
const PAGE_CHANGES: usize = 100;

/// Decides how long a node waits between two reads of the store.
///
/// Answers two load patterns: a burst of changes, for which all nodes together must not make a call
/// for each change; and a long history that a node missed while the store rejected it, which
/// arrives in pages and must be read without delays, or the node stays behind for long.
#[derive(Debug, Clone, Copy)]
pub struct ReadPacing {
    /// Time within which a stored configuration has to become active.
    pub config_apply_limit: Duration,
}

impl ReadPacing {
    /// Returns the time for which a watch waits for changes; `reads_for_others` tells whether
    /// callers or other nodes depend on this node's copy.
    pub fn watch_wait(&self, reads_for_others: bool) -> Duration {
        if !reads_for_others {
            return UNANNOUNCED_WATCH_WAIT;
        }
        self.config_apply_limit.mul_f64(WATCH_WAIT_FRACTION)
    }

    /// Returns a random delay before all entries are listed because the store was restored. `nodes` is
    /// the number of announced nodes, which list them at the same time.
    pub fn listing_delay(&self, nodes: u32) -> Duration {
        let spread = (LISTING_SPREAD_PER_NODE * nodes).min(MAX_LISTING_SPREAD);
        spread.mul_f64(rand::rng().random::<f64>())
    }

    /// Returns whether a reply with `changes` holds all that the node lacked.
    pub fn is_complete(changes: usize) -> bool {
        changes < PAGE_CHANGES
    }

    /// Returns the delay after a reply with `changes`.
    ///
    /// `nodes` is the number of announced nodes; `reads_for_others` tells whether callers or
    /// other nodes depend on this node's copy.
    pub fn delay_after(&self, changes: usize, nodes: u32, reads_for_others: bool) -> Duration {
        if !Self::is_complete(changes) {
            return Duration::ZERO;
        }
        if !reads_for_others {
            return self.config_apply_limit.mul_f64(UNANNOUNCED_BATCH_FRACTION);
        }
        (BATCH_DELAY + BATCH_DELAY_PER_NODE * nodes).min(MAX_BATCH_DELAY)
    }
}

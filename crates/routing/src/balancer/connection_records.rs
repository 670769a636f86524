//! What a balancer knows of the connections to its upstreams.

use std::time::Duration;

use mux_model::TimePoint;

use super::ServiceBalancer;
use crate::UpstreamKey;

/// Weight of a new sample in the moving average of the connection setup time.
const DIAL_WEIGHT: f64 = 0.2;

impl ServiceBalancer {
    /// Records the number of connections to an upstream that are open or being set up.
    pub fn record_connections(&self, key: &UpstreamKey, open: u32) {
        self.with_key(key, |it| it.set_open_connections(open));
    }

    /// Returns whether the upstream may reset a new connection because it accepts no more: it has done
    /// so, or may still hold connections of this node's previous process.
    pub fn may_refuse_connection(&self, key: &UpstreamKey) -> bool {
        self.with_key(key, |it| it.may_refuse_connection()).unwrap_or_default()
    }

    /// Records the first reply on a new connection, which shows that the upstream accepted it.
    pub fn record_connection_accepted(&self, now: TimePoint, key: &UpstreamKey) {
        self.with_key(key, |it| it.on_connection_accepted(now));
    }

    /// Records that a new connection was reset before its first reply.
    pub fn record_new_connection_failed(&self, now: TimePoint, key: &UpstreamKey) {
        self.with_key(key, |it| it.on_connection_refused(now));
    }

    /// Records the setup time of a connection; `None` if the dial failed.
    pub fn record_connect(&self, now: TimePoint, key: &UpstreamKey, elapsed: Option<Duration>) {
        let mut state = self.lock();
        if let Some(elapsed) = elapsed {
            let sample = elapsed.as_secs_f64() * 1e6;
            state.dial_us += (sample - state.dial_us) * DIAL_WEIGHT;
        }
        let Some(known) = state.upstreams.iter_mut().find(|it| it.has_key(key)) else {
            return;
        };
        if elapsed.is_none() {
            // An upstream at its connection limit may refuse the dial instead of resetting the
            // connection. `open_connections` still includes the failed dial;
            // `on_connection_refused` subtracts it. Without another connection, the upstream is
            // more likely to be down.
            if known.has_other_connection() {
                known.on_connection_refused(now);
            }
            known.on_dial_failed(now);
        }
    }
}

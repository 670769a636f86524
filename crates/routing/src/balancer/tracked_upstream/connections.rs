//! The connections of this node to one upstream, and back-off after failures.

use std::time::Duration;

use mux_model::TimePoint;

use super::{MIN_CONNECTIONS, TrackedUpstream};

/// Initial backoff for new connections after a failed dial; doubles with each further failure.
const DIAL_BACKOFF: Duration = Duration::from_millis(80);
/// Maximum backoff after a failed dial.
const MAX_DIAL_BACKOFF: Duration = Duration::from_millis(640);
/// Initial backoff for additional connections after one was refused; doubles with each refusal.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum backoff for additional connections after one was refused.
const MAX_REFUSAL_BACKOFF: Duration = Duration::from_secs(2);
/// Initial delay of a new connection after one was refused while no other is open; doubles with each
/// refusal. Without a connection, calls can only wait.
const REDIAL_DELAY: Duration = Duration::from_millis(25);
/// Maximum delay of a new connection after one was refused while no other is open.
const MAX_REDIAL_DELAY: Duration = Duration::from_millis(400);

impl TrackedUpstream {
    pub(in crate::balancer) fn is_in_dial_backoff(&self, now: TimePoint) -> bool {
        now < self.dial_backoff_until
    }

    pub(in crate::balancer) fn set_open_connections(&mut self, open: u32) {
        self.open_connections = open;
    }

    /// Returns whether a connection is open or being set up.
    pub(in crate::balancer) fn has_connection(&self) -> bool {
        0 < self.open_connections
    }

    /// Returns whether a connection is open or being set up besides the one that just failed, which
    /// is still counted.
    pub(in crate::balancer) fn has_other_connection(&self) -> bool {
        1 < self.open_connections
    }

    /// Returns whether a connection that is open or being set up is not reserved by a call.
    pub(in crate::balancer) fn has_free_connection(&self) -> bool {
        self.in_flight() < self.open_connections
    }

    /// Handles the first reply on a new connection: raises the assumed limit to allow one more,
    /// unless a refusal backoff is running.
    pub(in crate::balancer) fn on_connection_accepted(&mut self, now: TimePoint) {
        self.failed_dials = 0;
        self.dial_backoff_until = TimePoint::ZERO;
        if self.open_at_refusal <= self.open_connections {
            self.refusals = 0;
        }
        if self.refusal_backoff_until <= now {
            let next = self.open_connections.saturating_add(1);
            self.assumed_connection_limit = self.assumed_connection_limit.max(next);
        }
    }

    /// Handles the refusal of a new connection: limits this node to the remaining open connections
    /// until one is accepted after a backoff.
    pub(in crate::balancer) fn on_connection_refused(&mut self, now: TimePoint) {
        let redial_delay = REDIAL_DELAY * (1 << self.refusals.min(8));
        self.redial_at = now + redial_delay.min(MAX_REDIAL_DELAY);
        let backoff = REFUSAL_BACKOFF * (1 << self.refusals.min(8));
        self.refusals += 1;
        self.refusal_backoff_until = now + backoff.min(MAX_REFUSAL_BACKOFF);
        self.open_at_refusal = self.open_connections;
        let others = self.open_connections.saturating_sub(1);
        self.assumed_connection_limit = others.max(MIN_CONNECTIONS);
    }

    /// Returns whether a new connection may be reset.
    pub(in crate::balancer) fn may_refuse_connection(&self) -> bool {
        self.assumed_connection_limit != u32::MAX
    }

    /// Returns the time until a new connection is tried, if a call would need one and the upstream has
    /// just refused one.
    pub(in crate::balancer) fn refusal_time_left(&self, now: TimePoint) -> Option<Duration> {
        let is_refused = self.open_connections == 0 && now < self.redial_at;
        is_refused.then(|| self.redial_at.since(now))
    }

    /// Returns the maximum number of connections that the upstream is assumed to accept from this
    /// node.
    pub(in crate::balancer) fn assumed_connection_limit(&self) -> u32 {
        self.assumed_connection_limit
    }

    pub(in crate::balancer) fn on_dial_failed(&mut self, now: TimePoint) {
        let backoff = DIAL_BACKOFF * (1 << self.failed_dials.min(8));
        self.failed_dials += 1;
        self.dial_backoff_until = now + backoff.min(MAX_DIAL_BACKOFF);
    }
}

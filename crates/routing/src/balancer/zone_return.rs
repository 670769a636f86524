//! Evacuated availability zones, and the return of load to them.

use std::time::Duration;

use mux_model::{AvailabilityZone, FastMap, FastSet, TimePoint};

/// Fractions of the calls for which upstreams of a returned zone are considered, one for each
/// [`RETURN_STEP`]; all calls after the last one.
const RETURN_STEPS: [f64; 4] = [0.1, 0.25, 0.5, 0.75];
/// Duration of a step of the return.
const RETURN_STEP: Duration = Duration::from_secs(1);

/// The return of load to an availability zone whose evacuation has ended.
///
/// Answers the burst that a whole zone would get at once, from all nodes, while caches and connections
/// of its upstreams are empty.
#[derive(Debug, Clone, Copy)]
pub(super) struct ZoneReturn {
    since: TimePoint,
    /// Whether the upstreams that were known at the end of the evacuation are in the balancer again.
    is_listed: bool,
}

impl ZoneReturn {
    /// Returns the fraction of the calls for which the upstreams of the zone are considered.
    fn load_share(&self, now: TimePoint) -> f64 {
        let steps = now.since(self.since).as_millis() / RETURN_STEP.as_millis();
        let step = usize::try_from(steps).unwrap_or(usize::MAX);
        RETURN_STEPS.get(step).copied().unwrap_or(1.0)
    }

    fn is_complete(&self, now: TimePoint) -> bool {
        self.is_listed && self.load_share(now) == 1.0
    }
}

/// The evacuated and returned zones of one balancer.
#[derive(Debug, Default)]
pub(super) struct ZoneStates {
    closed: FastSet<AvailabilityZone>,
    returns: FastMap<AvailabilityZone, ZoneReturn>,
}

impl ZoneStates {
    /// Replaces the evacuated zones; those that are no longer among them return.
    pub(super) fn set_closed(&mut self, now: TimePoint, zones: &FastSet<AvailabilityZone>) {
        self.returns.retain(|zone, it| !zones.contains(zone) && !it.is_complete(now));
        for zone in self.closed.difference(zones) {
            let zone_return = ZoneReturn { since: now, is_listed: false };
            self.returns.insert(zone.clone(), zone_return);
        }
        self.closed.clone_from(zones);
    }

    /// Returns whether nothing may be sent to upstreams of `zone`.
    pub(super) fn is_closed(&self, zone: &AvailabilityZone) -> bool {
        self.closed.contains(zone)
    }

    /// Returns the fraction of the calls for which upstreams of `zone` are considered before the others
    /// have refused a call.
    pub(super) fn load_share(&self, now: TimePoint, zone: &AvailabilityZone) -> f64 {
        self.returns.get(zone).map_or(1.0, |it| it.load_share(now))
    }

    /// Returns whether the upstreams of `zone` that are listed now were registered before its return, so
    /// that their records do not show whether they are cold.
    pub(super) fn has_old_records(&self, zone: &AvailabilityZone) -> bool {
        self.returns.get(zone).is_some_and(|it| !it.is_listed)
    }

    /// Records that the upstreams of all open zones have been listed.
    pub(super) fn on_listed(&mut self) {
        self.returns.values_mut().for_each(|it| it.is_listed = true);
    }
}

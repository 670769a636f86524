//! What a balancer does when availability zones are evacuated and return.

use mux_model::{AvailabilityZone, FastSet, TimePoint};

use super::ServiceBalancer;
use crate::UpstreamKey;

impl ServiceBalancer {
    /// Sets the availability zones that operators have evacuated; load returns in steps to those that
    /// are no longer among them. To be called before [`Self::set_upstreams`], if both change.
    pub fn set_closed_zones(&self, now: TimePoint, zones: &FastSet<AvailabilityZone>) {
        self.lock().zones.set_closed(now, zones);
    }

    /// Returns whether the zone of `upstream` is evacuated, so that nothing may be sent to it.
    ///
    /// Answers calls that wait for a connection while their zone is evacuated.
    pub fn is_in_closed_zone(&self, key: &UpstreamKey) -> bool {
        let state = self.lock();
        let mut known = state.upstreams.iter().filter(|it| it.has_key(key));
        known.any(|it| state.zones.is_closed(&it.availability_zone))
    }
}

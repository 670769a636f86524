//! Selection of the node that serves the requests of one that is cut from all upstreams.

use std::time::Duration;

use mux_model::{FastMap, NodeId, TimePoint};
use mux_placement::RelayPeer;
use rand::RngExt;

/// Time for which a helper that did not answer is passed over.
const SILENT_HELPER_PENALTY: Duration = Duration::from_secs(1);
/// Time for which a helper that is cut itself is passed over.
const CUT_HELPER_PENALTY: Duration = Duration::from_secs(1);
/// Time for which other helpers come before one that was at its limits. It may still have room for
/// requests of other routes, and be the only one.
const BUSY_HELPER_PENALTY: Duration = Duration::from_millis(100);
/// Number of requests of this node at one helper from which on others are preferred. A helper may
/// have a slow link, and serve several nodes.
const HELPER_REQUESTS: u32 = 6;
/// Time for which a helper that reached upstreams is taken to reach them.
const REACH_LIFETIME: Duration = Duration::from_secs(2);

/// Why a helper did not take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HelperRefusal {
    /// It did not answer.
    Silent,
    /// It is cut from upstreams, or is about to stop.
    Unable,
    /// It has as many requests of other nodes as it takes.
    Busy,
}

#[derive(Debug, Clone, Copy, Default)]
struct HelperLoad {
    in_flight: u32,
    passed_over_until: TimePoint,
    busy_until: TimePoint,
    /// Time until which the helper is taken to reach upstreams.
    reaches_until: TimePoint,
}

/// Spreads the requests of a node that is cut from all upstreams over other nodes.
///
/// Answers the cases that many nodes or a whole availability zone are cut: their requests are spread by
/// the load that this node causes at each helper. Helpers that were found to reach upstreams come
/// first, then those to which callers are directed, then near ones, as others may have been cut at the same moment; those that are cut, stopping
/// or silent are passed over for a while, and those at their limits come last.
#[derive(Debug, Clone, Default)]
pub struct HelperTable {
    loads: FastMap<NodeId, HelperLoad>,
}

impl HelperTable {
    /// Returns the helper for the next request: of two random ones of the best group, the one with
    /// fewer requests of this node. `excluded` have been tried for this request.
    pub fn choose(
        &self,
        now: TimePoint,
        helpers: &[RelayPeer],
        excluded: &[NodeId],
    ) -> Option<RelayPeer> {
        let usable = helpers.iter().filter(|it| !excluded.contains(&it.node));
        let usable = usable.map(|it| (it, self.load(&it.node)));
        let ranked: Vec<_> = usable
            .filter(|(_, load)| load.passed_over_until <= now)
            .map(|(it, load)| {
                let is_full = HELPER_REQUESTS <= load.in_flight;
                let is_verified = now < load.reaches_until;
                let is_busy = now < load.busy_until;
                let group = (is_busy, is_full, !is_verified, !it.is_preferred, !it.is_near);
                (group, load.in_flight, it)
            })
            .collect();
        let best = ranked.iter().map(|(group, ..)| *group).min()?;
        let group: Vec<_> = ranked.iter().filter(|(it, ..)| *it == best).collect();
        let mut rng = rand::rng();
        let (first, second) =
            (group[rng.random_range(0..group.len())], group[rng.random_range(0..group.len())]);
        let (.., chosen) = if second.1 < first.1 { second } else { first };
        Some((*chosen).clone())
    }

    /// Returns the helpers that are not known to reach upstreams and not passed over.
    pub fn unverified<'a>(&self, now: TimePoint, helpers: &'a [RelayPeer]) -> Vec<&'a RelayPeer> {
        let is_unverified = |it: &&RelayPeer| {
            let load = self.load(&it.node);
            load.passed_over_until <= now && load.reaches_until <= now
        };
        helpers.iter().filter(is_unverified).collect()
    }

    /// Records whether a helper reaches upstreams.
    pub fn on_reach(&mut self, now: TimePoint, helper: &NodeId, reaches: bool) {
        if reaches {
            self.loads.entry(helper.clone()).or_default().reaches_until = now + REACH_LIFETIME;
        } else {
            self.on_refusal(now, helper, HelperRefusal::Unable);
        }
    }

    /// Records that a request is sent to a helper.
    pub fn on_request(&mut self, helper: &NodeId) {
        self.loads.entry(helper.clone()).or_default().in_flight += 1;
    }

    /// Records the end of a request that was sent to a helper.
    pub fn on_end(&mut self, helper: &NodeId) {
        if let Some(load) = self.loads.get_mut(helper) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Records that a helper did not take a request.
    pub fn on_refusal(&mut self, now: TimePoint, helper: &NodeId, refusal: HelperRefusal) {
        self.loads.retain(|_, it| {
            let is_known = now < it.passed_over_until || now < it.busy_until;
            is_known || 0 < it.in_flight || now < it.reaches_until
        });
        let load = self.loads.entry(helper.clone()).or_default();
        let penalty = match refusal {
            HelperRefusal::Busy => {
                load.busy_until = now + BUSY_HELPER_PENALTY;
                return;
            }
            HelperRefusal::Silent => SILENT_HELPER_PENALTY,
            HelperRefusal::Unable => CUT_HELPER_PENALTY,
        };
        load.passed_over_until = now + penalty;
        load.reaches_until = TimePoint::ZERO;
    }

    fn load(&self, helper: &NodeId) -> HelperLoad {
        self.loads.get(helper).copied().unwrap_or_default()
    }
}

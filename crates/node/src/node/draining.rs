//! Applies and shares the drain state of upstreams.

use mux_model::UpstreamId;

use super::Node;

impl Node {
    /// Stops or resumes new calls to an upstream, at this node and, through gossip, at all others.
    pub(crate) fn set_upstream_draining(&self, upstream: UpstreamId, draining: bool) {
        self.apply_upstream_draining(upstream, draining);
        self.gossip.set_upstream_draining(upstream, draining);
    }

    /// Stops or resumes new calls to an upstream at this node.
    pub(crate) fn apply_upstream_draining(&self, upstream: UpstreamId, draining: bool) {
        let now = self.timer.now();
        for service in self.registry.all() {
            let entries = &service.definition().upstreams;
            if entries.iter().any(|it| it.address == upstream) {
                service.set_shared_draining(now, upstream, draining);
            }
        }
    }
}

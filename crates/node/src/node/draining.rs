//! Upstreams that take no new work.

use mux_model::UpstreamId;

use super::Node;

impl Node {
    /// Stops or resumes new work for an upstream, here and at all other nodes.
    pub(crate) fn note_draining(&self, upstream: UpstreamId, draining: bool) {
        self.observe_draining(upstream, draining);
        self.gossip.set_upstream_draining(upstream, draining);
    }

    /// Stops or resumes new work for an upstream here.
    pub(crate) fn observe_draining(&self, upstream: UpstreamId, draining: bool) {
        let now = self.timer.now();
        for service in self.registry.all() {
            let entries = &service.definition().upstreams;
            if entries.iter().any(|it| it.address == upstream) {
                service.observe_draining(now, upstream, draining);
            }
        }
    }
}

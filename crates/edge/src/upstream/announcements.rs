//! What upstreams announce about themselves in their replies.

use mux_model::InstanceId;
use mux_routing::balancer::{QuietOutcome, ServiceBalancer};
use slog::{info, warn};

use crate::{QuietRequest, ReplyKind, ReplyMetadata, edge_state::EdgeState};

/// Records that `instance` is about to exit or asked for no calls, according to one of its replies.
///
/// The reply may answer a call that its query no longer needs, or carry another request's id; it
/// shows the state of the upstream all the same.
pub(super) fn record_announcements(
    edge: &EdgeState,
    balancer: &ServiceBalancer,
    instance: &InstanceId,
    metadata: &ReplyMetadata,
) {
    // The announcements of another instance at the address do not concern the expected one.
    if metadata.kind == ReplyKind::WrongInstance {
        return;
    }
    let now = edge.timer.now();
    if metadata.is_leaving && balancer.record_leaving(now, instance) {
        edge.metrics.leaving_upstreams.inc();
        info!(edge.logger, "upstream: announced its exit in a reply, no further calls";
            "instance" => instance.as_str());
    }
    match &metadata.quiet_request {
        None => {}
        Some(QuietRequest::Malformed(text)) => {
            let Some(suppressed) = edge.request_log.allow(now) else {
                return;
            };
            warn!(edge.logger, "upstream: malformed time without calls ignored";
                "instance" => instance.as_str(), "value" => text, "suppressed_lines" => suppressed);
        }
        Some(QuietRequest::Period(period)) => {
            let outcome = balancer.record_quiet(now, instance, *period);
            let Some(QuietOutcome::Started(granted)) = outcome else {
                return;
            };
            edge.metrics.quiet_requests.inc();
            let Some(suppressed) = edge.request_log.allow(now) else {
                return;
            };
            info!(edge.logger, "upstream: asked for no calls";
                "instance" => instance.as_str(), "requested_ms" => millis(*period),
                "granted_ms" => millis(granted), "suppressed_lines" => suppressed);
        }
    }
}

fn millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

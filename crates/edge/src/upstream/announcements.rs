//! What upstreams announce about themselves in their replies.

use std::time::Duration;

use mux_model::{InstanceId, TimePoint};
use mux_routing::balancer::{QuietOutcome, RateLimitChange, RateLimitReport, ServiceBalancer};
use slog::{info, warn};

use crate::{
    QuietRequest, RateLimitStatement, ReplyIdentity, ReplyKind, ReplyMetadata, WarmUpStatement,
    edge_metrics::ChangeLabel, edge_state::EdgeState,
};

/// Records what `instance` announces in a reply to a call sent at `sent_at`: that it is about to exit,
/// wants no calls, limits the rate of calls, or is cold.
///
/// The reply may answer a call that its query no longer needs, or carry another request's id; it
/// shows the state of the upstream all the same.
pub(super) fn record_announcements(
    edge: &EdgeState,
    balancer: &ServiceBalancer,
    instance: &InstanceId,
    metadata: &ReplyMetadata,
    sent_at: TimePoint,
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
    record_rate_limit(edge, balancer, instance, metadata, sent_at);
    record_warm_up(edge, balancer, instance, metadata, sent_at);
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

fn record_rate_limit(
    edge: &EdgeState,
    balancer: &ServiceBalancer,
    instance: &InstanceId,
    metadata: &ReplyMetadata,
    sent_at: TimePoint,
) {
    let now = edge.timer.now();
    let rate = match &metadata.rate_limit {
        Some(RateLimitStatement::Rate(rate)) => Some(*rate),
        Some(RateLimitStatement::Malformed(text)) => {
            if let Some(suppressed) = edge.request_log.allow(now) {
                warn!(edge.logger, "upstream: malformed rate limit ignored";
                    "instance" => instance.as_str(), "value" => text,
                    "suppressed_lines" => suppressed);
            }
            return;
        }
        // A copy of an older reply does not show that the upstream no longer states a limit.
        None if metadata.identity != ReplyIdentity::OwnRequest => return,
        None => None,
    };
    let Some(change) = balancer.record_rate_limit(now, instance, sent_at, rate) else {
        return;
    };
    let (event, report) = match change {
        RateLimitChange::Started(_) => ("started", None),
        RateLimitChange::Changed(report) => ("changed", Some(report)),
        RateLimitChange::Ended(report) => ("ended", Some(report)),
    };
    edge.metrics.rate_limit_changes.get_or_create(&ChangeLabel { change: event }).inc();
    let Some(suppressed) = edge.request_log.allow(now) else {
        return;
    };
    let none = RateLimitReport { rate: 0.0, age: Duration::ZERO, first_calls: 0, extra_calls: 0 };
    let report = report.unwrap_or(none);
    info!(edge.logger, "upstream: rate limit"; "instance" => instance.as_str(), "change" => event,
        "per_s" => rate.unwrap_or(0.0), "previous_per_s" => report.rate,
        "age_ms" => millis(report.age), "first_calls" => report.first_calls,
        "extra_calls" => report.extra_calls, "suppressed_lines" => suppressed);
}

fn record_warm_up(
    edge: &EdgeState,
    balancer: &ServiceBalancer,
    instance: &InstanceId,
    metadata: &ReplyMetadata,
    sent_at: TimePoint,
) {
    let now = edge.timer.now();
    match &metadata.warm_up {
        None => {}
        Some(WarmUpStatement::TimeLeft(time_left)) => {
            balancer.record_warm_up(now, instance, sent_at, *time_left);
        }
        Some(WarmUpStatement::Malformed(text)) => {
            let Some(suppressed) = edge.request_log.allow(now) else {
                return;
            };
            warn!(edge.logger, "upstream: malformed warm-up time ignored";
                "instance" => instance.as_str(), "value" => text, "suppressed_lines" => suppressed);
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

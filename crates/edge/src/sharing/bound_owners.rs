//! The parts of a node that own the grants of its bounds.

use std::sync::Arc;

use mux_model::WorkspaceName;
use mux_routing::balancer::ServiceBalancer;
use mux_sharing::{BoundKey, MAX_BOUNDS_PER_CALL};
use slog::info;

use crate::{
    edge_metrics::{BoundLabel, ChangeLabel},
    edge_state::EdgeState,
    relay::GrantRequest,
};

/// Maximum number of grants of one bound that are lent in one call.
const MAX_LENT_GRANTS: u32 = 128;

/// The part of a node that owns the grants of a bound.
enum BoundOwner<'a> {
    /// The balancer of the upstream's service.
    Balancer(Arc<ServiceBalancer>),
    /// The quotas of workspaces.
    Quotas(&'a WorkspaceName),
    /// None, as this node does not know the bound.
    None,
}

impl<'a> BoundOwner<'a> {
    fn of(edge: &EdgeState, key: &'a BoundKey) -> Self {
        match key {
            BoundKey::UpstreamRate(instance) | BoundKey::WarmUp(instance) => {
                let service = edge.upstreams().service(instance).cloned();
                service.map_or(Self::None, |it| Self::Balancer(edge.balancer(&it)))
            }
            BoundKey::Workspace(name) => Self::Quotas(name),
        }
    }
}

/// Returns the question for `wanted` grants of a bound.
pub(super) fn grant_request(edge: &EdgeState, key: &BoundKey, wanted: u32) -> GrantRequest {
    let stated_rate = match BoundOwner::of(edge, key) {
        BoundOwner::Balancer(balancer) => balancer.stated_rate(key),
        BoundOwner::Quotas(_) | BoundOwner::None => None,
    };
    GrantRequest { key: key.clone(), wanted, stated_rate }
}

/// Gives up to `wanted` unneeded grants of a bound to another node; returns how many.
fn lend_grants(edge: &EdgeState, key: &BoundKey, wanted: u32) -> u32 {
    let wanted = wanted.min(MAX_LENT_GRANTS);
    let lent = match BoundOwner::of(edge, key) {
        BoundOwner::Balancer(balancer) => balancer.lend_grants(edge.timer.now(), key, wanted),
        BoundOwner::Quotas(name) => {
            edge.workspace_quotas.table().lend(edge.timer.now(), name, wanted)
        }
        BoundOwner::None => 0,
    };
    let label = BoundLabel { kind: key.kind() };
    edge.metrics.grants_lent.get_or_create(&label).inc_by(u64::from(lent));
    lent
}

/// Lends grants of several bounds to another node; returns how many of each.
pub(crate) fn lend_all(edge: &EdgeState, requests: &[GrantRequest]) -> Vec<u32> {
    let answered = &requests[..requests.len().min(MAX_BOUNDS_PER_CALL)];
    answered.iter().for_each(|it| learn_rate_limit(edge, it));
    let lent: Vec<_> = answered.iter().map(|it| lend_grants(edge, &it.key, it.wanted)).collect();
    let has_lent = lent.iter().any(|it| 0 < *it);
    if let Some(suppressed) = has_lent.then(|| edge.sharing.log.allow(edge.timer.now())).flatten() {
        info!(edge.logger, "sharing: grants lent"; "bounds" => requests.len(),
            "first_kind" => requests.first().map_or("", |it| it.key.kind()),
            "wanted" => total(requests.iter().map(|it| it.wanted)),
            "lent" => total(lent.iter().copied()), "suppressed_lines" => suppressed);
    }
    lent
}

/// Records the rate limit that an upstream stated to the node that asks for its grants.
fn learn_rate_limit(edge: &EdgeState, request: &GrantRequest) {
    let (Some(rate), BoundOwner::Balancer(balancer)) =
        (request.stated_rate, BoundOwner::of(edge, &request.key))
    else {
        return;
    };
    let now = edge.timer.now();
    if !balancer.learn_rate_limit(now, &request.key, rate) {
        return;
    }
    edge.metrics.rate_limit_changes.get_or_create(&ChangeLabel { change: "learnt" }).inc();
    if let Some(suppressed) = edge.request_log.allow(now) {
        info!(edge.logger, "upstream: rate limit learnt from another node";
            "bound" => format!("{:?}", request.key), "per_s" => rate,
            "suppressed_lines" => suppressed);
    }
}

/// Adds grants that another node has given up.
pub(super) fn add_borrowed(edge: &EdgeState, key: &BoundKey, count: u32) {
    match BoundOwner::of(edge, key) {
        BoundOwner::Balancer(balancer) => balancer.add_borrowed(edge.timer.now(), key, count),
        BoundOwner::Quotas(name) => {
            edge.workspace_quotas.table().add_borrowed(edge.timer.now(), name, count);
        }
        // The upstream has gone since.
        BoundOwner::None => {}
    }
    let label = BoundLabel { kind: key.kind() };
    edge.metrics.grants_received.get_or_create(&label).inc_by(u64::from(count));
}

/// Returns the sum of the counts.
pub(super) fn total(counts: impl Iterator<Item = u32>) -> u64 {
    counts.map(u64::from).sum()
}

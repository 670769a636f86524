//! Decides whether the workspace of a request may send it.

use std::{pin::pin, sync::Arc, time::Duration};

use mux_config::traffic::{RouteRule, RouteTable};
use mux_model::{TimePoint, WorkspaceName};
use mux_workspaces::QuotaVerdict;

use super::{
    CallerRequest, RequestOrigin,
    final_answer::{FinalAnswer, over_quota_answer},
    outdated_config::unknown_key_answer,
};
use crate::{
    RequestMetadata, WireProtocol,
    edge_metrics::{ResultLabel, WorkspaceLabels},
    edge_state::EdgeState,
    workspace_quotas::ask_for_grants,
};

/// Longest time for which a request waits for grants of other nodes.
const GRANT_WAIT_LIMIT: Duration = Duration::from_millis(30);
/// Part of the latency target for which a request waits for grants of other nodes at most.
const GRANT_WAIT_DIVISOR: u32 = 10;

/// The workspace of a request that may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct WorkspaceAdmission {
    /// `None` for a request of no workspace.
    pub(super) workspace: Option<WorkspaceName>,
    /// Rank of the request; zero is the most urgent.
    pub(super) rank: u32,
    /// Whether the caller's credentials are kept from upstreams.
    pub(super) hides_credentials: bool,
    /// Whether the request used a grant of this node.
    has_grant: bool,
}

impl WorkspaceAdmission {
    /// Returns the name of the workspace; empty for a request of no workspace.
    pub(super) fn workspace_name(&self) -> &str {
        self.workspace.as_ref().map_or("", WorkspaceName::as_str)
    }

    /// Returns the grant of a request that was not run.
    pub(super) fn on_answered(&self, edge: &EdgeState, answer: &FinalAnswer) {
        if let Some(name) = self.workspace.as_ref().filter(|_| self.has_grant && answer.never_ran())
        {
            edge.workspace_quotas.table().return_grant(name);
        }
    }
}

/// A request that its workspace may not send.
pub(super) struct WorkspaceRefusal {
    pub(super) answer: FinalAnswer,
    pub(super) admission: WorkspaceAdmission,
}

/// Decides whether the workspace of a request may send it; waits for grants of other nodes if this one
/// has none.
///
/// A request that another node forwards was admitted and counted there.
pub(super) async fn admit_workspace<W: WireProtocol>(
    edge: &Arc<EdgeState>,
    request: &CallerRequest,
    metadata: &RequestMetadata,
    rule: &RouteRule,
    table: &RouteTable,
) -> Result<WorkspaceAdmission, Box<WorkspaceRefusal>> {
    let mut admission = WorkspaceAdmission {
        workspace: None,
        rank: rule.rank,
        hides_credentials: !table.workspaces().is_empty(),
        has_grant: false,
    };
    if let RequestOrigin::Node { workspace, rank, .. } = &request.origin {
        admission.workspace = workspace.clone();
        admission.rank = *rank;
        return Ok(admission);
    }
    if table.workspaces().is_empty() || rule.is_key_exempt {
        return Ok(admission);
    }
    let key = metadata.caller.as_ref().and_then(W::read_key);
    let Some(workspace) = key.and_then(|it| table.workspaces().find(&it)) else {
        record(edge, None, "unknown_key");
        let answer = unknown_key_answer(edge, table.version(), metadata.time_left);
        return Err(Box::new(WorkspaceRefusal { answer, admission }));
    };
    admission.workspace = Some(workspace.name.clone());
    admission.rank = workspace.rank.unwrap_or(rule.rank);
    let verdict = {
        let mut quotas = edge.workspace_quotas.table();
        quotas.admit(edge.timer.now(), &workspace.name)
    };
    let wait_limit = GRANT_WAIT_LIMIT.min(rule.latency_target / GRANT_WAIT_DIVISOR);
    let refused_for = match verdict {
        QuotaVerdict::Admitted => {
            ask_for_grants(edge, &workspace.name);
            None
        }
        QuotaVerdict::OverQuota { retry_after } => Some(retry_after),
        QuotaVerdict::MustBorrow => {
            let give_up_at = edge.timer.now() + wait_limit;
            Box::pin(wait_for_grant(edge, &workspace.name, give_up_at)).await
        }
    };
    let Some(retry_after) = refused_for else {
        admission.has_grant = true;
        record(edge, Some(&workspace.name), "admitted");
        return Ok(admission);
    };
    record(edge, Some(&workspace.name), "over_quota");
    let time_left = metadata.time_left.unwrap_or(rule.time_limit);
    let answer = over_quota_answer(retry_after, time_left);
    Err(Box::new(WorkspaceRefusal { answer, admission }))
}

/// Waits until other nodes have lent a grant, they have none, or `give_up_at`. Returns the time after
/// which the request may be repeated; `None` if it has a grant.
///
/// Requests of a workspace wait for the same round of questions, so that a burst does not cause one
/// question each.
async fn wait_for_grant(
    edge: &Arc<EdgeState>,
    name: &WorkspaceName,
    give_up_at: TimePoint,
) -> Option<Duration> {
    let _waiting = WaitingGuard::new(edge, name);
    ask_for_grants(edge, name);
    let mut is_late = false;
    loop {
        let mut round_ended = pin!(edge.workspace_quotas.round_ended.notified());
        // Registers before the state is read, so that the end of the round is not missed.
        round_ended.as_mut().enable();
        let now = edge.timer.now();
        let verdict = edge.workspace_quotas.table().admit_waiting(now, name);
        match verdict {
            QuotaVerdict::MustBorrow if is_late => {
                return Some(edge.workspace_quotas.table().retry_after(name));
            }
            QuotaVerdict::MustBorrow => ask_for_grants(edge, name),
            QuotaVerdict::Admitted => {
                let label = ResultLabel { result: "borrowed" };
                edge.metrics.admissions.get_or_create(&label).inc();
                return None;
            }
            QuotaVerdict::OverQuota { retry_after } => return Some(retry_after),
        }
        is_late = edge.timer.timeout(give_up_at.since(now), round_ended).await.is_err();
    }
}

/// Counts a decision.
fn record(edge: &EdgeState, workspace: Option<&WorkspaceName>, result: &'static str) {
    edge.metrics.admissions.get_or_create(&ResultLabel { result }).inc();
    if let Some(name) = workspace {
        let labels = WorkspaceLabels { workspace: name.as_str().to_owned(), result };
        edge.metrics.workspace_requests.get_or_create(&labels).inc();
    }
}

/// Counts a request that waits for grants until it is dropped.
struct WaitingGuard<'a> {
    edge: &'a EdgeState,
    name: &'a WorkspaceName,
}

impl<'a> WaitingGuard<'a> {
    fn new(edge: &'a EdgeState, name: &'a WorkspaceName) -> Self {
        edge.workspace_quotas.table().add_waiting(name);
        Self { edge, name }
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.edge.workspace_quotas.table().remove_waiting(self.name);
    }
}

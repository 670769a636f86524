//! Connections to the nodes that help this one while it is cut from all upstreams.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use mux_model::{FastMap, InstanceId, NodeId, RevisionNumber, TimePoint};
use mux_placement::RelayPeer;

use super::{
    ForwardedAnswer, ForwardedRequest, HelperRefusal, HelperTable, NotTakenReason, RelayConnection,
};
use crate::edge_state::EdgeState;

/// Time limit of the question whether a node reaches upstreams, which it may have to dial.
const REACH_TIMEOUT: Duration = Duration::from_millis(450);
/// Time after which a helper without an answer is asked whether it still answers at all.
const LINK_CHECK_PERIOD: Duration = Duration::from_millis(150);
/// Time limit of that question.
const LINK_CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Age of the latest reply up to which a connection is taken for open without a check.
const VERIFIED_LINK_AGE: Duration = Duration::from_millis(500);

/// Result of an attempt to let a helper serve a request.
#[derive(Debug)]
pub(crate) enum HelperResult {
    /// The helper answered.
    Answered(ForwardedAnswer),
    /// The request was not sent.
    NotSent,
    /// No answer was received; the request may have run.
    Lost,
}

#[derive(Debug)]
struct HelperLink {
    connection: RelayConnection,
    replied_at: TimePoint,
}

/// Connections to helpers, and the load that this node causes there.
#[derive(Debug, Default)]
pub(crate) struct HelperLinks {
    links: Mutex<FastMap<NodeId, HelperLink>>,
    table: Mutex<HelperTable>,
    /// Highest version of the configuration with which helpers served requests of this node.
    served_version: AtomicU64,
}

/// Counts a request at a helper until it is dropped.
struct RequestCountGuard<'a> {
    links: &'a HelperLinks,
    helper: &'a NodeId,
}

impl Drop for RequestCountGuard<'_> {
    fn drop(&mut self) {
        lock(&self.links.table).on_end(self.helper);
    }
}

impl HelperLinks {
    /// Returns the helper for the next request, which none of `excluded` has taken.
    pub(crate) fn choose(
        &self,
        now: TimePoint,
        helpers: &[RelayPeer],
        excluded: &[NodeId],
    ) -> Option<RelayPeer> {
        lock(&self.table).choose(now, helpers, excluded)
    }

    /// Returns which of the upstreams `peer` reaches; `None` if it does not answer.
    pub(crate) async fn reach_upstreams(
        &self,
        edge: &EdgeState,
        peer: &RelayPeer,
        instances: Vec<InstanceId>,
    ) -> Option<Vec<bool>> {
        let connection = self.connection(edge, peer).await?;
        let reached = connection.reach_upstreams(instances, REACH_TIMEOUT).await;
        self.on_reply(edge, peer, reached.is_ok());
        let reached = reached.ok()?;
        let reaches_any = reached.contains(&true);
        lock(&self.table).on_reach(edge.timer.now(), &peer.node, reaches_any);
        Some(reached)
    }

    /// Returns the helpers that are not known to reach upstreams.
    pub(crate) fn unverified(&self, now: TimePoint, helpers: &[RelayPeer]) -> Vec<RelayPeer> {
        lock(&self.table).unverified(now, helpers).into_iter().cloned().collect()
    }

    /// Lets `helper` serve a request within `limit`. Dropping the future cancels the request there.
    pub(crate) async fn run_request(
        &self,
        edge: &EdgeState,
        helper: &RelayPeer,
        request: ForwardedRequest,
        limit: Duration,
    ) -> HelperResult {
        lock(&self.table).on_request(&helper.node);
        let _guard = RequestCountGuard { links: self, helper: &helper.node };
        let Some(connection) = self.verified_connection(edge, helper).await else {
            return HelperResult::NotSent;
        };
        let answer = tokio::select! {
            biased;
            answer = connection.run_request(request, limit) => answer.ok(),
            () = wait_until_silent(edge, &connection) => None,
        };
        self.on_reply(edge, helper, answer.is_some());
        let Some(answer) = answer else {
            return HelperResult::Lost;
        };
        let refusal = match &answer {
            ForwardedAnswer::Final { .. } => None,
            ForwardedAnswer::NotTaken { refusal: NotTakenReason::Busy, .. } => {
                Some(HelperRefusal::Busy)
            }
            ForwardedAnswer::NotTaken { .. } | ForwardedAnswer::GivenUp { .. } => {
                Some(HelperRefusal::Unable)
            }
        };
        let now = edge.timer.now();
        match refusal {
            Some(refusal) => lock(&self.table).on_refusal(now, &helper.node, refusal),
            None if is_success(&answer) => lock(&self.table).on_reach(now, &helper.node, true),
            None => {}
        }
        HelperResult::Answered(answer)
    }

    /// Returns a connection that is known to be open. A request that is lost on a connection that had
    /// been closed long ago would count as one that may have run.
    async fn verified_connection(
        &self,
        edge: &EdgeState,
        peer: &RelayPeer,
    ) -> Option<RelayConnection> {
        let connection = self.connection(edge, peer).await?;
        let replied_at = lock(&self.links).get(&peer.node).map(|it| it.replied_at);
        let is_recent =
            replied_at.is_some_and(|it| edge.timer.now().since(it) <= VERIFIED_LINK_AGE);
        if is_recent {
            return Some(connection);
        }
        let reply = connection.reach_upstreams(Vec::new(), LINK_CHECK_TIMEOUT).await;
        self.on_reply(edge, peer, reply.is_ok());
        if reply.is_ok() {
            return Some(connection);
        }
        // The helper may have been started again.
        self.connection(edge, peer).await
    }

    /// Returns the open connection to `peer`, or a new one.
    async fn connection(&self, edge: &EdgeState, peer: &RelayPeer) -> Option<RelayConnection> {
        if let Some(link) = lock(&self.links).get(&peer.node) {
            return Some(link.connection.clone());
        }
        let Ok(connection) = RelayConnection::open(&edge.timer, peer.address).await else {
            let now = edge.timer.now();
            lock(&self.table).on_refusal(now, &peer.node, HelperRefusal::Silent);
            return None;
        };
        let link = HelperLink { connection: connection.clone(), replied_at: edge.timer.now() };
        lock(&self.links).insert(peer.node.clone(), link);
        Some(connection)
    }

    /// Records a reply on the connection to `peer`, or closes the connection if there was none.
    fn on_reply(&self, edge: &EdgeState, peer: &RelayPeer, has_replied: bool) {
        let now = edge.timer.now();
        let mut links = lock(&self.links);
        if has_replied {
            if let Some(link) = links.get_mut(&peer.node) {
                link.replied_at = now;
            }
            return;
        }
        links.remove(&peer.node);
        drop(links);
        lock(&self.table).on_refusal(now, &peer.node, HelperRefusal::Silent);
    }

    /// Returns the highest version of the configuration with which helpers served requests of this
    /// node. Its callers must not be served with an older one afterwards.
    pub(crate) fn served_version(&self) -> RevisionNumber {
        RevisionNumber(self.served_version.load(Ordering::Relaxed))
    }

    /// Records that a helper served a request with a version of the configuration.
    pub(crate) fn set_served_version(&self, version: RevisionNumber) {
        self.served_version.fetch_max(version.0, Ordering::Relaxed);
    }
}

fn is_success(answer: &ForwardedAnswer) -> bool {
    matches!(answer, ForwardedAnswer::Final { status, .. } if (200..300).contains(status))
}

/// Waits until the other side of a connection does not answer a question in time.
async fn wait_until_silent(edge: &EdgeState, connection: &RelayConnection) {
    loop {
        edge.timer.sleep(LINK_CHECK_PERIOD).await;
        if connection.reach_upstreams(Vec::new(), LINK_CHECK_TIMEOUT).await.is_err() {
            return;
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

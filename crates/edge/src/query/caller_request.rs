//! A request as received from its caller, or from another node.

use std::{
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri, header};
use mux_config::traffic::{ExecutionSemantics, RouteTable};
use mux_model::{NodeId, TimePoint, WorkspaceName};
use mux_quarantine::RequestFingerprint;
use tokio::sync::watch;

use super::workspace_admission::WorkspaceAdmission;
use crate::{
    RequestMetadata, WireProtocol, caller::strip_hop_by_hop_headers, upstream::CallTemplate,
};

/// A complete request of a caller.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) received_at: TimePoint,
    /// Network address of the caller.
    pub(crate) caller_address: SocketAddr,
    pub(crate) origin: RequestOrigin,
    /// The routes that were active when the head of the request was received; all decisions about it are
    /// made by these. `None` before the configuration has been read.
    pub(crate) routes: Option<Arc<RouteTable>>,
}

impl CallerRequest {
    /// Returns the host of the request; empty if it names none.
    pub(super) fn host(&self) -> String {
        let host_header = self.headers.get(header::HOST).and_then(|it| it.to_str().ok());
        host_header.or_else(|| self.uri.host()).unwrap_or_default().to_owned()
    }

    /// Returns the parts that are sent with every call.
    pub(super) fn into_template<W: WireProtocol>(
        mut self,
        metadata: &RequestMetadata,
        execution: ExecutionSemantics,
        admission: &WorkspaceAdmission,
    ) -> CallTemplate {
        strip_hop_by_hop_headers(&mut self.headers);
        self.headers.remove(header::EXPECT);
        if admission.hides_credentials {
            W::remove_credentials(&mut self.headers);
        }
        W::write_workspace(&mut self.headers, admission.workspace.as_ref());
        let fingerprint = match self.origin {
            RequestOrigin::Caller => OnceLock::new(),
            RequestOrigin::Node { fingerprint, .. } => OnceLock::from(fingerprint),
        };
        CallTemplate {
            method: self.method,
            target: self.uri,
            headers: self.headers,
            body: self.body,
            request_id: metadata.request_id.clone(),
            execution,
            received_at: self.received_at,
            calls_per_shard: AtomicU32::new(0),
            is_forwarded: AtomicBool::new(0 < self.origin.calls_made()),
            caller_address: self.caller_address,
            caller: metadata.caller.clone(),
            fingerprint,
            caller_disconnected: watch::Sender::new(false),
        }
    }
}

/// Where a node received a request from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    /// From the caller.
    Caller,
    /// From a node that is cut from all upstreams. Such a request is not forwarded again.
    Node {
        node: NodeId,
        /// Time until the final answer was due when that node sent the request.
        time_left: Duration,
        /// Time since that node received the request.
        elapsed: Duration,
        /// Calls to each shard that may have run before.
        calls_made: u32,
        /// Workspace of the request, which that node has admitted.
        workspace: Option<WorkspaceName>,
        /// Rank that the request has at that node.
        rank: u32,
        /// Fingerprint of the request, with the caller's credentials, which are not passed on.
        fingerprint: RequestFingerprint,
    },
}

impl RequestOrigin {
    /// Returns whether the caller sent the request to this node.
    pub(super) fn is_caller(&self) -> bool {
        *self == Self::Caller
    }

    /// Returns the calls to each shard that may have run before this node received the request.
    pub(super) fn calls_made(&self) -> u32 {
        match self {
            Self::Caller => 0,
            Self::Node { calls_made, .. } => *calls_made,
        }
    }

    /// Returns the time since the request was received from the caller.
    pub(super) fn elapsed(&self) -> Duration {
        match self {
            Self::Caller => Duration::ZERO,
            Self::Node { elapsed, .. } => *elapsed,
        }
    }

    /// Returns the name of the node that forwarded the request; empty if the caller sent it.
    pub(super) fn node_name(&self) -> &str {
        match self {
            Self::Caller => "",
            Self::Node { node, .. } => node.as_str(),
        }
    }
}

/// Notifies the calls of a request that the caller has disconnected if this guard is dropped before
/// the final answer.
pub(super) struct DisconnectGuard {
    pub(super) template: Arc<CallTemplate>,
    pub(super) is_answered: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.is_answered {
            self.template.caller_disconnected.send_replace(true);
        }
    }
}

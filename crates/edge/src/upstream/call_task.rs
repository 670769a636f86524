//! A call to an upstream, which may outlive its query.

use std::{
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Uri, header};
use http_body_util::Full;
use mux_config::traffic::ExecutionSemantics;
use mux_model::{CallFailure, InstanceId, ServiceName, TimePoint, UpstreamId};
use mux_quarantine::RequestFingerprint;
use mux_routing::{
    UpstreamSlot,
    balancer::{LatencyEstimate, ServiceBalancer},
    reach::ContactFailure,
};
use slog::info;
use tokio::sync::{oneshot, watch};

use super::{UpstreamReply, connection_pool::ReusePolicy};
use crate::{
    CallMetadata, WireProtocol,
    edge_state::EdgeState,
    request_quarantine::{record_crash, record_survival},
};

/// Time for which a call may continue after its caller has disconnected.
///
/// Cancelling it at once would close the connection, and a new connection costs the upstream more
/// than most replies. A longer time would make the upstream work on a reply that is not needed.
const DISCONNECT_GRACE: Duration = Duration::from_millis(300);
/// Time for which a call may continue after its query no longer needs it. A slow upstream accepts
/// fewer connections, so it may be impossible to replace a connection that is closed early.
const UNNEEDED_CALL_GRACE: Duration = Duration::from_millis(300);

/// Number of hedge delays after which an upstream without a reply counts as silent.
const SILENT_AFTER_HEDGE_DELAYS: u32 = 3;
/// Range of that time.
const MIN_SILENT_TIME: Duration = Duration::from_millis(50);
const MAX_SILENT_TIME: Duration = Duration::from_millis(300);

/// The parts of a caller's request that are sent with every call.
#[derive(Debug)]
pub(crate) struct CallTemplate {
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) request_id: HeaderValue,
    pub(crate) execution: ExecutionSemantics,
    /// When this node received the request.
    pub(crate) received_at: TimePoint,
    /// Largest number of calls to one shard so far.
    pub(crate) calls_per_shard: AtomicU32,
    /// Whether the request was sent to another node.
    pub(crate) is_forwarded: AtomicBool,
    /// Network address of the caller.
    pub(crate) caller_address: SocketAddr,
    /// Credentials of the caller; `None` if it sent none.
    pub(crate) caller: Option<HeaderValue>,
    pub(crate) fingerprint: OnceLock<RequestFingerprint>,
    /// Becomes true when the caller disconnects before the final answer.
    pub(crate) caller_disconnected: watch::Sender<bool>,
}

impl CallTemplate {
    /// Returns whether an upstream may have run the request, at this node's call or at another's.
    pub(crate) fn may_have_run(&self) -> bool {
        0 < self.calls_per_shard.load(Ordering::Relaxed)
            || self.is_forwarded.load(Ordering::Relaxed)
    }

    /// Returns the fingerprint of the request; computed when it is needed for the first time.
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let host = value_bytes(self.headers.get(header::HOST)).to_ascii_lowercase();
            let target = self.target.path_and_query().map_or("", |it| it.as_str());
            RequestFingerprint::of_parts(&[
                value_bytes(self.caller.as_ref()),
                self.method.as_str().as_bytes(),
                &host,
                target.as_bytes(),
                &self.body,
            ])
        })
    }
}

fn value_bytes(value: Option<&HeaderValue>) -> &[u8] {
    value.map_or(&[], HeaderValue::as_bytes)
}

/// The parameters of a call.
#[derive(Debug)]
pub(crate) struct CallSpec {
    pub(crate) template: Arc<CallTemplate>,
    pub(crate) balancer: Arc<ServiceBalancer>,
    pub(crate) slot: UpstreamSlot,
    pub(crate) service: ServiceName,
    /// When the balancer reserved the connection.
    pub(crate) reserved_at: TimePoint,
    /// Start of the attempt if the request was a suspect then.
    pub(crate) suspect_since: Option<TimePoint>,
    /// Time after which the reply is no longer needed.
    pub(crate) deadline: TimePoint,
    pub(crate) latency_estimate: LatencyEstimate,
}

/// The reply to a call, or the reason for its failure.
pub(crate) type CallResult = Result<UpstreamReply, CallError>;

/// Failure of a call.
#[derive(Debug, Clone)]
pub(crate) struct CallError {
    pub(crate) failure: CallFailure,
    /// The instance whose process ended during the call; `None` for other failures.
    pub(crate) ended_instance: Option<InstanceId>,
}

impl From<CallFailure> for CallError {
    fn from(failure: CallFailure) -> Self {
        Self { failure, ended_instance: None }
    }
}

/// Releases the reserved connection when it is dropped.
#[derive(Debug)]
struct ReservationGuard<'a> {
    spec: &'a CallSpec,
}

impl<'a> ReservationGuard<'a> {
    fn new(spec: &'a CallSpec) -> Self {
        spec.balancer.begin_call(spec.slot);
        Self { spec }
    }
}

impl Drop for ReservationGuard<'_> {
    fn drop(&mut self) {
        self.spec.balancer.end_call(self.spec.slot);
    }
}

/// Starts a call. If the receiver is dropped, the call is cancelled after a grace period, or at its
/// deadline if the request must not be repeated.
pub(crate) fn spawn_call<W: WireProtocol>(
    edge: Arc<EdgeState>,
    spec: CallSpec,
) -> oneshot::Receiver<CallResult> {
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(async move { run_call::<W>(&edge, &spec, sender).await });
    receiver
}

async fn run_call<W: WireProtocol>(
    edge: &EdgeState,
    spec: &CallSpec,
    mut sender: oneshot::Sender<CallResult>,
) {
    let reservation = ReservationGuard::new(spec);
    let mut exchange = Box::pin(exchange_watched::<W>(edge, spec));
    let completed = tokio::select! {
        biased;
        result = &mut exchange => Some(result),
        () = sender.closed() => None,
    };
    if let Some(result) = completed {
        drop(exchange);
        drop(reservation);
        // The receiver is dropped if the query has ended at the same time.
        let _ = sender.send(result);
        return;
    }
    let late_result = tokio::select! {
        biased;
        result = &mut exchange => Some(result),
        () = wait_until_abandoned(edge, spec) => None,
    };
    match late_result {
        Some(Ok(_)) => {
            let now = edge.timer.now();
            let latency = now.since(spec.reserved_at);
            spec.balancer.record_late_reply(now, spec.slot, latency, &spec.latency_estimate);
        }
        Some(Err(CallError { ended_instance: Some(instance), .. })) => {
            let fingerprint = spec.template.fingerprint();
            record_crash(edge, fingerprint, &spec.service, &instance, spec.suspect_since);
        }
        Some(Err(_)) | None => {}
    }
}

/// Waits until a call that its query no longer needs has to be cancelled: for a grace period, or up
/// to the deadline if the request must not be repeated.
async fn wait_until_abandoned(edge: &EdgeState, spec: &CallSpec) {
    if spec.template.execution == ExecutionSemantics::AtMostOnce {
        // Cancelling the call could interrupt the request, and even the upstream's operator would not
        // know whether it took effect.
        return edge.timer.sleep_until(spec.deadline).await;
    }
    let mut caller_disconnected = spec.template.caller_disconnected.subscribe();
    tokio::select! {
        () = edge.timer.sleep(UNNEEDED_CALL_GRACE) => return,
        () = edge.timer.sleep_until(spec.deadline) => return,
        () = wait_until_true(&mut caller_disconnected) => {}
    }
    edge.timer.sleep(DISCONNECT_GRACE).await;
}

async fn wait_until_true(flag: &mut watch::Receiver<bool>) {
    // No error is possible: the sender is part of the call's template, which outlives the receiver.
    let _ = flag.wait_for(|it| *it).await;
}

/// Makes a call, and records that its upstream is silent if the reply is late.
async fn exchange_watched<W: WireProtocol>(edge: &EdgeState, spec: &CallSpec) -> CallResult {
    let silent_time = (spec.latency_estimate.hedge_delay * SILENT_AFTER_HEDGE_DELAYS)
        .clamp(MIN_SILENT_TIME, MAX_SILENT_TIME);
    let mut exchange = pin!(exchange::<W>(edge, spec));
    tokio::select! {
        biased;
        result = &mut exchange => return result,
        () = edge.timer.sleep(silent_time) => {
            edge.reach.on_failure(spec.slot.upstream, ContactFailure::Silent);
        }
    }
    exchange.await
}

async fn exchange<W: WireProtocol>(edge: &EdgeState, spec: &CallSpec) -> CallResult {
    let Some(instance) = spec.balancer.instance(spec.slot) else {
        let reason = mux_model::NotRunReason::NotSent;
        return Err(CallFailure::NotRun { reason, retry_after: None }.into());
    };
    let pool = edge.connection_pools.pool(&instance, spec.slot.upstream);
    let request = call_request::<W>(edge.timer.now(), spec, &instance);
    let reuse_policy = match spec.template.execution {
        ExecutionSemantics::Idempotent => ReusePolicy::AnyIdle,
        ExecutionSemantics::AtMostOnce => ReusePolicy::RecentlyUsed,
    };
    let id = &spec.template.request_id;
    let result = pool.exchange::<W>(edge, &spec.balancer, request, id, reuse_policy).await;
    if let Err(CallFailure::NotRun { reason: mux_model::NotRunReason::WrongInstance, .. }) = result
    {
        record_misdirected(edge, &instance, spec.slot.upstream);
    }
    if matches!(result, Err(CallFailure::ConnectionLost)) && pool.has_ended(&edge.timer).await {
        record_upstream_end(edge, spec, &instance);
        let failure = CallFailure::UpstreamEnded;
        return Err(CallError { failure, ended_instance: Some(instance) });
    }
    if result.as_ref().is_ok_and(|it| it.signature.is_some()) {
        let fingerprint = || spec.template.fingerprint();
        record_survival(edge, fingerprint, &spec.service, spec.reserved_at);
    }
    Ok(result?)
}

/// Records that another instance replied at the address `upstream` of `instance`.
fn record_misdirected(edge: &EdgeState, instance: &InstanceId, upstream: UpstreamId) {
    if edge.upstreams().on_misdirected(instance, upstream) {
        info!(edge.logger, "upstream: another instance replied at its address";
            "instance" => instance.as_str());
        edge.refresh_balancers(edge.timer.now());
    }
}

/// Records that the process of an upstream ended during a call.
fn record_upstream_end(edge: &EdgeState, spec: &CallSpec, instance: &InstanceId) {
    edge.metrics.upstream_ends.inc();
    let now = edge.timer.now();
    let Some(suppressed) = edge.request_log.allow(now) else {
        return;
    };
    let template = &spec.template;
    info!(edge.logger, "upstream: ended during a call"; "instance" => instance.as_str(),
        "upstream" => spec.slot.upstream.to_string(), "fingerprint" => template.fingerprint().to_string(),
        "id" => template.request_id.to_str().unwrap_or("(not text)"),
        "caller" => template.caller_address.to_string(), "path" => template.target.path(),
        "call_ms" => now.since(spec.reserved_at).as_millis() as u64,
        "suppressed_lines" => suppressed);
}

fn call_request<W: WireProtocol>(
    now: TimePoint,
    spec: &CallSpec,
    instance: &InstanceId,
) -> Request<Full<Bytes>> {
    let template = &spec.template;
    let mut request = Request::new(Full::new(template.body.clone()));
    *request.method_mut() = template.method.clone();
    *request.uri_mut() = template.target.clone();
    *request.headers_mut() = template.headers.clone();
    let time_left = spec.deadline.since(now);
    W::write_call(request.headers_mut(), &CallMetadata { instance, time_left });
    request
}

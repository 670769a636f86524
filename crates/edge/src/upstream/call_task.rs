//! One call to an upstream, which may outlive the query that made it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Uri};
use http_body_util::Full;
use mux_config::traffic::ExecutionSemantics;
use mux_model::{CallFailure, InstanceId, TimePoint, UpstreamId};
use mux_routing::balancer::{LatencyEstimate, ServiceBalancer};
use tokio::sync::{oneshot, watch};

use super::{UpstreamAnswer, upstream_link::Freshness};
use crate::{CallMetadata, WireProtocol, edge::Edge};

/// Time that a call has to end by itself after its caller has left.
///
/// Ending it at once would cost the connection, and a new one costs the upstream more than most
/// replies; longer than this the upstream would work for nobody.
const LEFT_LIMIT: Duration = Duration::from_millis(300);
/// Time that a call has to end by itself once its query needs it no more. An upstream that is slow
/// accepts fewer connections, so that one that is closed early may not be had again.
const UNNEEDED_LIMIT: Duration = Duration::from_millis(300);

/// The parts of a caller's request that every call repeats.
#[derive(Debug)]
pub(crate) struct CallTemplate {
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) request_id: HeaderValue,
    pub(crate) execution: ExecutionSemantics,
    /// Becomes true when the caller leaves before its answer.
    pub(crate) caller_left: watch::Sender<bool>,
}

/// A call to be made.
#[derive(Debug)]
pub(crate) struct CallOrder {
    pub(crate) template: Arc<CallTemplate>,
    pub(crate) balancer: Arc<ServiceBalancer>,
    pub(crate) upstream: UpstreamId,
    /// When the lane reserved the connection.
    pub(crate) started: TimePoint,
    /// Time after which the reply is of no use.
    pub(crate) deadline: TimePoint,
    pub(crate) latency_estimate: LatencyEstimate,
}

/// How a call ended.
pub(crate) type CallEnd = Result<UpstreamAnswer, CallFailure>;

/// Frees the reserved connection however the call ends.
#[derive(Debug)]
struct Reservation<'a> {
    order: &'a CallOrder,
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.order.balancer.end_call(self.order.upstream, self.order.started);
    }
}

/// Starts a call; dropping the receiver gives it up.
pub(crate) fn spawn_call<W: WireProtocol>(
    edge: Arc<Edge>,
    order: CallOrder,
) -> oneshot::Receiver<CallEnd> {
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(async move { run_call::<W>(&edge, &order, sender).await });
    receiver
}

async fn run_call<W: WireProtocol>(
    edge: &Edge,
    order: &CallOrder,
    mut sender: oneshot::Sender<CallEnd>,
) {
    let reservation = Reservation { order };
    let mut exchange = Box::pin(exchange::<W>(edge, order));
    let ended = tokio::select! {
        biased;
        end = &mut exchange => Some(end),
        () = sender.closed() => None,
    };
    if let Some(end) = ended {
        drop(exchange);
        drop(reservation);
        // The query may have ended at the same moment.
        let _ = sender.send(end);
        return;
    }
    let in_time = tokio::select! {
        biased;
        end = &mut exchange => Some(end),
        () = unneeded_limit(edge, order) => None,
    };
    if let Some(Ok(_)) = in_time {
        let now = edge.timer.now();
        let latency = now.since(order.started);
        order.balancer.record_late_reply(now, order.upstream, latency, &order.latency_estimate);
    }
}

/// Waits until a call that nobody needs has had its time.
async fn unneeded_limit(edge: &Edge, order: &CallOrder) {
    if order.template.execution == ExecutionSemantics::AtMostOnce {
        // Cutting it would leave its outcome unknown to the upstream's owner as well.
        return edge.timer.sleep_until(order.deadline).await;
    }
    let mut caller_left = order.template.caller_left.subscribe();
    tokio::select! {
        () = edge.timer.sleep(UNNEEDED_LIMIT) => return,
        () = edge.timer.sleep_until(order.deadline) => return,
        () = wait_until_true(&mut caller_left) => {}
    }
    edge.timer.sleep(LEFT_LIMIT).await;
}

async fn wait_until_true(flag: &mut watch::Receiver<bool>) {
    // The sender lives as long as the order that the receiver belongs to.
    let _ = flag.wait_for(|it| *it).await;
}

async fn exchange<W: WireProtocol>(edge: &Edge, order: &CallOrder) -> CallEnd {
    let Some(instance) = order.balancer.instance(order.upstream) else {
        let reason = mux_model::NotRunReason::NotSent;
        return Err(CallFailure::NotRun { reason, retry_after: None });
    };
    let link = edge.links.link(&instance, order.upstream);
    let request = call_request::<W>(edge.timer.now(), order, &instance);
    let freshness = match order.template.execution {
        ExecutionSemantics::Idempotent => Freshness::Any,
        ExecutionSemantics::AtMostOnce => Freshness::Recent,
    };
    let id = &order.template.request_id;
    let end = link.exchange::<W>(&edge.timer, &order.balancer, request, id, freshness).await;
    if let Err(CallFailure::NotRun { reason: mux_model::NotRunReason::WrongInstance, .. }) = end {
        edge.on_misdirected(&instance);
    }
    end
}

fn call_request<W: WireProtocol>(
    now: TimePoint,
    order: &CallOrder,
    instance: &InstanceId,
) -> Request<Full<Bytes>> {
    let template = &order.template;
    let mut request = Request::new(Full::new(template.body.clone()));
    *request.method_mut() = template.method.clone();
    *request.uri_mut() = template.target.clone();
    *request.headers_mut() = template.headers.clone();
    let time_left = order.deadline.since(now);
    W::write_call(request.headers_mut(), &CallMetadata { instance, time_left });
    request
}

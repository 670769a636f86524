//! Decides where and whether a query runs, and runs it.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use bytes::Bytes;
use mux_model::{NodeId, SnapshotId, TimePoint, Verdict};
use mux_query::{
    BeginOutcome, FanOutPlan, FanOutResult, FanOutStop, RunTicket, SessionLedger, SessionToken,
};
use mux_routing::ReplicaRouter;
use mux_timer::TimerService;
use tokio::sync::mpsc;

use super::{
    ProblemCode, QueryAnswer, QueryCommand, QueryOutcome, QueryProblem, RuntimeCounters,
    ServiceRuntime, SessionClaim, SessionUse, ShardBody, fan_out_driver::FanOutDriver,
};
use crate::{
    Node,
    peer::{PeerClient, PeerError},
};

const HOP_LIMIT: u8 = 1;
const REPIN_LIMIT: usize = 2;
const DEADLINE_MARGIN: Duration = Duration::from_millis(2);
const DEFAULT_RETRY_MS: u64 = 200;
const IN_PROGRESS_RETRY_MS: u64 = 50;

/// Runs queries, here or at another node.
#[derive(Debug)]
pub(crate) struct QueryDispatcher {
    node: Weak<Node>,
    timer: TimerService,
    ledger: SessionLedger,
    peers: Arc<PeerClient>,
}

type QueryResult = Result<QueryAnswer, QueryProblem>;

impl QueryDispatcher {
    /// Creates a dispatcher for `node`.
    pub(crate) fn new(
        node: Weak<Node>,
        timer: TimerService,
        ledger: SessionLedger,
        peers: Arc<PeerClient>,
    ) -> Self {
        Self { node, timer, ledger, peers }
    }

    /// Returns the ledger of sessions that this node minted.
    pub(crate) fn ledger(&self) -> &SessionLedger {
        &self.ledger
    }

    /// Runs a query to its final outcome.
    pub(crate) async fn dispatch(
        &self,
        command: QueryCommand,
        caller_gone: mpsc::Receiver<()>,
    ) -> QueryOutcome {
        let request = command.request;
        let Some(node) = self.node.upgrade() else {
            let problem = QueryProblem::not_run(ProblemCode::Draining, "the node is stopping");
            return QueryOutcome { request, result: Err(problem) };
        };
        let _running = node.count_query();
        let started = self.timer.now();
        let service = command.service.clone();
        let result = self.route(&node, command, caller_gone).await;
        node.record_outcome(&result);
        node.record_latency(&service, self.timer.now().since(started));
        QueryOutcome { request, result }
    }

    async fn route(
        &self,
        node: &Node,
        command: QueryCommand,
        caller_gone: mpsc::Receiver<()>,
    ) -> QueryResult {
        node.check_admission()?;
        let Some(runtime) = node.registry().find(&command.service) else {
            let message = format!("there is no service {}", command.service);
            return Err(QueryProblem::not_run(ProblemCode::UnknownService, message));
        };
        let deadline = self.deadline(&runtime, &command);
        if runtime.definition().idempotent {
            return self.run_or_forward(node, &runtime, command, deadline, caller_gone).await;
        }
        match command.claim.clone() {
            SessionClaim::Unnamed => {
                let message = "requests of this service are not idempotent: send `session` from \
                               an address answer and a new `sequence` with each request";
                Err(QueryProblem::not_run(ProblemCode::SessionRequired, message))
            }
            SessionClaim::Named(session) => {
                self.run_in_session(node, &runtime, command, &session, deadline, caller_gone).await
            }
            SessionClaim::Recorded => {
                self.run_or_forward(node, &runtime, command, deadline, caller_gone).await
            }
        }
    }

    fn deadline(&self, runtime: &ServiceRuntime, command: &QueryCommand) -> TimePoint {
        let longest = runtime.definition().deadline_ms;
        let millis = command.deadline_ms.map_or(longest, |it| it.min(longest));
        self.timer.now() + Duration::from_millis(millis)
    }

    async fn run_in_session(
        &self,
        node: &Node,
        runtime: &Arc<ServiceRuntime>,
        command: QueryCommand,
        session: &SessionUse,
        deadline: TimePoint,
        caller_gone: mpsc::Receiver<()>,
    ) -> QueryResult {
        let Ok(token) = SessionToken::parse(&session.token) else {
            let message = "the session is not one that an address answer gave";
            return Err(QueryProblem::not_run(ProblemCode::SessionInvalid, message));
        };
        if token.owner() != node.name() {
            return self.forward_to_owner(node, token.owner(), command, deadline).await;
        }
        match self.ledger.begin(self.timer.now(), &token, session.sequence) {
            BeginOutcome::Run(ticket) => {
                self.run_ticket(node, runtime, command, ticket, deadline, caller_gone).await
            }
            BeginOutcome::Finished { verdict, answer } => replay(verdict, answer),
            other => Err(session_problem(&other)),
        }
    }

    /// Runs a request that the ledger lets run, and records how it ended.
    async fn run_ticket(
        &self,
        node: &Node,
        runtime: &Arc<ServiceRuntime>,
        command: QueryCommand,
        ticket: RunTicket,
        deadline: TimePoint,
        caller_gone: mpsc::Receiver<()>,
    ) -> QueryResult {
        let command = QueryCommand { claim: SessionClaim::Recorded, hops: 0, ..command };
        let result = self.run_or_forward(node, runtime, command, deadline, caller_gone).await;
        let verdict = match &result {
            Ok(_) => Verdict::Done,
            Err(problem) => problem.verdict,
        };
        let kept = result.as_ref().ok().and_then(|it| serde_json::to_vec(it).ok());
        self.ledger.complete(ticket, verdict, kept.map(Bytes::from));
        result
    }

    async fn forward_to_owner(
        &self,
        node: &Node,
        owner: &NodeId,
        command: QueryCommand,
        deadline: TimePoint,
    ) -> QueryResult {
        let gone = || {
            let message = "the node that minted the session cannot be reached; an earlier \
                           attempt may have run: read back before repeating in a new session";
            QueryProblem::may_have_run(ProblemCode::SessionOwnerUnreachable, message)
        };
        if HOP_LIMIT <= command.hops {
            return Err(gone());
        }
        let Some(peer) = node.peer_address(owner) else {
            return Err(gone());
        };
        let command = self.next_hop(command, deadline);
        let limit = deadline.since(self.timer.now());
        match self.peers.run_query(peer, command, limit).await {
            Ok(outcome) => outcome.result,
            Err(_) => Err(gone()),
        }
    }

    async fn run_or_forward(
        &self,
        node: &Node,
        runtime: &Arc<ServiceRuntime>,
        command: QueryCommand,
        deadline: TimePoint,
        caller_gone: mpsc::Receiver<()>,
    ) -> QueryResult {
        if runtime.is_home() || HOP_LIMIT <= command.hops {
            return self.run_here(node, runtime, command, deadline, caller_gone).await;
        }
        self.forward_to_home(node, runtime, command, deadline).await
    }

    /// Hands the query to a home node; only a proof of not-run allows a second one.
    async fn forward_to_home(
        &self,
        node: &Node,
        runtime: &ServiceRuntime,
        command: QueryCommand,
        deadline: TimePoint,
    ) -> QueryResult {
        let idempotent = runtime.definition().idempotent;
        let mut verdict = Verdict::NotRun;
        for peer in node.home_peers(runtime.name()) {
            let limit = deadline.since(self.timer.now());
            let command = self.next_hop(command.clone(), deadline);
            match self.peers.run_query(peer, command, limit).await {
                Ok(outcome) => return outcome.result,
                Err(PeerError::NotSent) => {}
                Err(PeerError::Lost) => {
                    verdict = Verdict::MayHaveRun;
                    if !idempotent {
                        break;
                    }
                }
            }
        }
        let message = "no home node of the service could be reached; ask for addresses again";
        let problem = QueryProblem::not_run(ProblemCode::HomeUnreachable, message);
        Err(QueryProblem { verdict, ..problem }.retry_after_ms(DEFAULT_RETRY_MS))
    }

    fn next_hop(&self, command: QueryCommand, deadline: TimePoint) -> QueryCommand {
        let left = deadline.since(self.timer.now()).saturating_sub(DEADLINE_MARGIN);
        let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        QueryCommand { deadline_ms: Some(millis), hops: HOP_LIMIT, ..command }
    }

    async fn run_here(
        &self,
        node: &Node,
        runtime: &Arc<ServiceRuntime>,
        command: QueryCommand,
        deadline: TimePoint,
        caller_gone: mpsc::Receiver<()>,
    ) -> QueryResult {
        let now = self.timer.now();
        if let Err(refusal) = runtime.router().admit(now) {
            node.count_overload(runtime.name());
            RuntimeCounters::add(&runtime.counters().refused, 1);
            let message = "the service has as many queries as its upstreams can take";
            return Err(QueryProblem::not_run(ProblemCode::Overloaded, message)
                .retry_after_ms(to_millis(refusal.retry_after)));
        }
        let admitted = AdmittedQuery { runtime, timer: &self.timer };
        let result = self.fan_out(node, runtime, command, deadline, caller_gone).await;
        drop(admitted);
        result
    }

    async fn fan_out(
        &self,
        node: &Node,
        runtime: &Arc<ServiceRuntime>,
        command: QueryCommand,
        deadline: TimePoint,
        caller_gone: mpsc::Receiver<()>,
    ) -> QueryResult {
        let mut excluded: Vec<SnapshotId> = Vec::new();
        let mut caller_gone = caller_gone;
        loop {
            let Some(map) = runtime.pin(&excluded) else {
                let message = "no snapshot of the service's data is known to be complete enough";
                return Err(QueryProblem::not_run(ProblemCode::NoSnapshot, message)
                    .retry_after_ms(DEFAULT_RETRY_MS));
            };
            let snapshot = map.snapshot();
            let definition = runtime.definition();
            let latency_target = Duration::from_millis(definition.latency_target_ms);
            let plan = FanOutPlan {
                request: command.request,
                map,
                idempotent: definition.idempotent,
                latency_target: (self.timer.now() + latency_target).min(deadline),
                deadline,
                coverage_target: definition.coverage_target,
                coverage_minimum: definition.coverage_minimum,
            };
            let body = command.body.clone();
            let driver = FanOutDriver::new(node, runtime, plan, body);
            let Some(result) = driver.run(&mut caller_gone).await else {
                let message = "the caller went away";
                return Err(QueryProblem::may_have_run(ProblemCode::Internal, message));
            };
            count_result(runtime, &result);
            let may_repin = result.stop == Some(FanOutStop::SnapshotGone)
                && excluded.len() < REPIN_LIMIT
                && (definition.idempotent || result.verdict == Verdict::NotRun);
            if may_repin && self.timer.now() < deadline {
                RuntimeCounters::add(&runtime.counters().repinned, 1);
                excluded.push(snapshot);
                continue;
            }
            node.record_coverage(runtime.name(), &result);
            return to_answer(result);
        }
    }
}

/// Gives an admitted query's place back when it ends.
struct AdmittedQuery<'a> {
    runtime: &'a ServiceRuntime,
    timer: &'a TimerService,
}

impl Drop for AdmittedQuery<'_> {
    fn drop(&mut self) {
        self.runtime.router().finish(self.timer.now());
    }
}

fn to_answer(result: FanOutResult) -> QueryResult {
    let Some(stop) = result.stop else {
        let shards =
            result.shards.into_iter().map(|it| ShardBody { shard: it.shard, body: it.body });
        return Ok(QueryAnswer {
            snapshot: result.snapshot,
            coverage: result.coverage,
            shards: shards.collect(),
            replayed: false,
        });
    };
    let (code, message) = match stop {
        FanOutStop::CoverageUnreachable => (
            ProblemCode::CoverageUnreachable,
            "too many shards failed for the service's minimum coverage",
        ),
        FanOutStop::DeadlinePassed => {
            (ProblemCode::DeadlinePassed, "the deadline passed below the minimum coverage")
        }
        FanOutStop::SnapshotGone => {
            (ProblemCode::NoSnapshot, "the upstreams no longer hold the snapshot")
        }
        FanOutStop::Saturated => (ProblemCode::Overloaded, "every replica is at its limit"),
        FanOutStop::Abandoned => (ProblemCode::Internal, "the caller went away"),
    };
    let retry_after = result.retry_after.map_or(DEFAULT_RETRY_MS, to_millis);
    let problem = QueryProblem::not_run(code, message).retry_after_ms(retry_after);
    Err(QueryProblem { verdict: result.verdict, ..problem })
}

fn count_result(runtime: &ServiceRuntime, result: &FanOutResult) {
    let counters = runtime.counters();
    RuntimeCounters::add(&counters.calls, u64::from(result.calls));
    RuntimeCounters::add(&counters.shards, u64::from(result.coverage.total));
    let counter = match result.stop {
        None => &counters.answered,
        Some(_) => &counters.failed,
    };
    RuntimeCounters::add(counter, 1);
    if result.stop.is_none() && result.coverage.contributed < result.coverage.total {
        RuntimeCounters::add(&counters.partial, 1);
    }
}

fn replay(verdict: Verdict, answer: Option<Bytes>) -> QueryResult {
    let answer = answer.and_then(|it| serde_json::from_slice::<QueryAnswer>(&it).ok());
    if let Some(answer) = answer {
        return Ok(QueryAnswer { replayed: true, ..answer });
    }
    let message = match verdict {
        Verdict::Done => "the request ran before and its answer is no longer kept",
        _ => "the request was tried before and may have run",
    };
    Err(QueryProblem::may_have_run(ProblemCode::AnswerForgotten, message))
}

fn session_problem(outcome: &BeginOutcome) -> QueryProblem {
    let (code, message) = match outcome {
        BeginOutcome::InProgress => (ProblemCode::InProgress, "the same request is running"),
        BeginOutcome::Forgotten => (
            ProblemCode::SequenceForgotten,
            "the sequence number is older than those that the session remembers",
        ),
        BeginOutcome::Expired => (
            ProblemCode::SessionExpired,
            "the session's lifetime is over; an earlier attempt may have run",
        ),
        BeginOutcome::TableFull { .. } => {
            (ProblemCode::TooManyRequests, "the node remembers as many sessions as it can")
        }
        _ => (
            ProblemCode::SessionInvalid,
            "the session belongs to an earlier run of this node; an earlier attempt may have run",
        ),
    };
    let verdict = outcome.verdict().unwrap_or(Verdict::MayHaveRun);
    let problem = QueryProblem { verdict, ..QueryProblem::not_run(code, message) };
    match outcome {
        BeginOutcome::InProgress => problem.retry_after_ms(IN_PROGRESS_RETRY_MS),
        BeginOutcome::TableFull { retry_after } => problem.retry_after_ms(to_millis(*retry_after)),
        _ => problem,
    }
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX).max(1)
}

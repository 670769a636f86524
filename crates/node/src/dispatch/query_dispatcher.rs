//! Decides whether and at which node a query runs, and runs it.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use bytes::Bytes;
use mux_model::{NodeId, TimePoint, Verdict};
use mux_query::{BeginOutcome, RunTicket, SessionLedger, SessionToken};
use mux_timer::TimerService;
use tokio::sync::mpsc;

use super::{
    Deduplication, ProblemCode, QueryCommand, QueryOutcome, QueryProblem, ServiceRuntime,
    SessionRequestId,
    outcome_mapping::{DEFAULT_RETRY_MS, QueryResult, replay, session_problem},
    query_executor::QueryExecutor,
};
use crate::{
    Node,
    peer::{PeerClient, PeerError},
};

const HOP_LIMIT: u8 = 1;
const UNKNOWN_SERVICE_TIMEOUT: Duration = Duration::from_secs(1);
/// Part of the remaining time for which a failed query waits for the result of a probe.
const PROBE_WAIT_DIVISOR: u32 = 3;
const DEADLINE_MARGIN: Duration = Duration::from_millis(2);

/// Runs queries at this node or forwards them to another one.
#[derive(Debug)]
pub(crate) struct QueryDispatcher {
    node: Weak<Node>,
    timer: TimerService,
    ledger: SessionLedger,
    peers: Arc<PeerClient>,
}

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

    /// Returns the ledger of the sessions that this node minted.
    pub(crate) fn ledger(&self) -> &SessionLedger {
        &self.ledger
    }

    /// Runs a query to its final outcome.
    pub(crate) async fn dispatch(
        &self,
        command: QueryCommand,
        caller_disconnected: mpsc::Receiver<()>,
    ) -> QueryOutcome {
        let request = command.request;
        let Some(node) = self.node.upgrade() else {
            let problem = QueryProblem::not_run(ProblemCode::Draining, "the node is stopping");
            return QueryOutcome { request, result: Err(problem) };
        };
        let _in_flight = node.track_query();
        let started = self.timer.now();
        let service = command.service.clone();
        let result = self.route(&node, command, caller_disconnected).await;
        node.record_outcome(&result);
        node.record_latency(&service, self.timer.now().since(started));
        QueryOutcome { request, result }
    }

    async fn route(
        &self,
        node: &Node,
        command: QueryCommand,
        caller_disconnected: mpsc::Receiver<()>,
    ) -> QueryResult {
        let service = node.registry().find(&command.service);
        let is_idempotent = service.is_some_and(|it| it.definition().idempotent);
        match &command.deduplication {
            // Only the node that minted the session knows whether an earlier attempt has run, so
            // no other check may come first and reject the request as not run.
            Deduplication::Pending(session) if !is_idempotent => {
                let session = session.clone();
                self.run_in_session(node, command, &session, caller_disconnected).await
            }
            _ => self.admit_and_run(node, command, caller_disconnected).await,
        }
    }

    /// Checks admission at this node, and runs the query here or at a home node.
    async fn admit_and_run(
        &self,
        node: &Node,
        command: QueryCommand,
        caller_disconnected: mpsc::Receiver<()>,
    ) -> QueryResult {
        node.check_admission()?;
        let Some(runtime) = node.registry().find(&command.service) else {
            let message = format!("there is no service {}", command.service);
            return Err(QueryProblem::not_run(ProblemCode::UnknownService, message));
        };
        if !runtime.definition().idempotent
            && !matches!(command.deduplication, Deduplication::Recorded)
        {
            let message = "requests of this service are not idempotent: send `session` from an \
                           address answer and a new `sequence` with each request";
            return Err(QueryProblem::not_run(ProblemCode::SessionRequired, message));
        }
        let deadline = self.deadline(&runtime, &command);
        node.check_time_to_stop(runtime.definition(), deadline)?;
        if HOP_LIMIT <= command.hops {
            if node.is_cut() {
                return Err(cut_problem());
            }
            let executor = QueryExecutor::new(node, &runtime, deadline);
            return executor.run(command, caller_disconnected).await;
        }
        if !runtime.is_home() || node.is_cut() {
            return self.forward_to_home(node, &runtime, command, deadline).await;
        }
        let executor = QueryExecutor::new(node, &runtime, deadline);
        let result = executor.run(command.clone(), caller_disconnected).await;
        let is_not_run = result.as_ref().is_err_and(|it| it.verdict == Verdict::NotRun);
        let limit = deadline.since(self.timer.now()) / PROBE_WAIT_DIVISOR;
        if is_not_run && node.settle_reach(limit).await {
            return self.forward_to_home(node, &runtime, command, deadline).await;
        }
        result
    }

    fn deadline(&self, runtime: &ServiceRuntime, command: &QueryCommand) -> TimePoint {
        let max_millis = runtime.definition().deadline_ms;
        let millis = command.deadline_ms.map_or(max_millis, |it| it.min(max_millis));
        self.timer.now() + Duration::from_millis(millis)
    }

    async fn run_in_session(
        &self,
        node: &Node,
        command: QueryCommand,
        session: &SessionRequestId,
        caller_disconnected: mpsc::Receiver<()>,
    ) -> QueryResult {
        let Ok(token) = SessionToken::parse(&session.token) else {
            let message = "the session is not one that an address answer gave";
            return Err(QueryProblem::not_run(ProblemCode::SessionInvalid, message));
        };
        if token.owner() != node.name() {
            return self.forward_to_owner(node, token.owner(), command).await;
        }
        match self.ledger.begin(self.timer.now(), &token, session.sequence) {
            BeginOutcome::Run(ticket) => {
                self.run_recorded(node, command, ticket, caller_disconnected).await
            }
            BeginOutcome::Finished { verdict, answer } => replay(verdict, answer),
            other => Err(session_problem(&other)),
        }
    }

    /// Runs a request that the ledger has recorded, and records its outcome.
    async fn run_recorded(
        &self,
        node: &Node,
        command: QueryCommand,
        ticket: RunTicket,
        caller_disconnected: mpsc::Receiver<()>,
    ) -> QueryResult {
        let command = QueryCommand { deduplication: Deduplication::Recorded, hops: 0, ..command };
        let result = self.admit_and_run(node, command, caller_disconnected).await;
        let verdict = match &result {
            Ok(_) => Verdict::Done,
            Err(problem) => problem.verdict,
        };
        let answer = result.as_ref().ok().and_then(|it| serde_json::to_vec(it).ok());
        self.ledger.complete(ticket, verdict, answer.map(Bytes::from));
        result
    }

    async fn forward_to_owner(
        &self,
        node: &Node,
        owner: &NodeId,
        command: QueryCommand,
    ) -> QueryResult {
        let owner_unreachable = || {
            let message = "the node that minted the session cannot be reached; an earlier \
                           attempt may have run: read back before repeating in a new session";
            QueryProblem::may_have_run(ProblemCode::SessionOwnerUnreachable, message)
        };
        if HOP_LIMIT <= command.hops {
            return Err(owner_unreachable());
        }
        let Some(peer) = node.peer_address(owner) else {
            return Err(owner_unreachable());
        };
        let deadline = match node.registry().find(&command.service) {
            Some(runtime) => self.deadline(&runtime, &command),
            None => self.timer.now() + UNKNOWN_SERVICE_TIMEOUT,
        };
        let command = self.forwarded_command(command, deadline);
        let limit = deadline.since(self.timer.now());
        match self.peers.run_query(peer, command, limit).await {
            Ok(outcome) => outcome.result,
            Err(_) => Err(owner_unreachable()),
        }
    }

    /// Forwards the query to a home node.
    ///
    /// After a call without a reply, the next home node is tried only if the query is idempotent.
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
            let command = self.forwarded_command(command.clone(), deadline);
            match self.peers.run_query(peer, command, limit).await {
                Ok(QueryOutcome { result: Err(problem), .. })
                    if problem.verdict == Verdict::NotRun
                        && [ProblemCode::NotReady, ProblemCode::Draining]
                            .contains(&problem.code) => {}
                Ok(QueryOutcome { result: Err(problem), .. })
                    if idempotent && problem.code == ProblemCode::Interrupted =>
                {
                    verdict = Verdict::MayHaveRun;
                }
                Ok(outcome) => return outcome.result,
                Err(PeerError::NotSent) => {}
                Err(PeerError::NoReply) => {
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

    fn forwarded_command(&self, command: QueryCommand, deadline: TimePoint) -> QueryCommand {
        let left = deadline.since(self.timer.now()).saturating_sub(DEADLINE_MARGIN);
        let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        QueryCommand { deadline_ms: Some(millis), hops: HOP_LIMIT, ..command }
    }
}

fn cut_problem() -> QueryProblem {
    let message = "this node is cut from all upstreams";
    QueryProblem::not_run(ProblemCode::NotReady, message).retry_after_ms(DEFAULT_RETRY_MS)
}

//! Executes a query at this node, and retries it with other snapshots if necessary.

use std::{sync::Arc, time::Duration};

use mux_model::{SnapshotMap, TimePoint};
use mux_quarantine::AttemptKind;
use mux_query::{FanOutPlan, FanOutResult, QueryAttempts};
use mux_routing::ReplicaRouter;
use mux_timer::TimerService;
use tokio::sync::mpsc;

use super::{
    ProblemCode, QueryCommand, QueryProblem, RuntimeCounters, ServiceRuntime,
    fan_out_driver::FanOutDriver,
    outcome_mapping::{DEFAULT_RETRY_MS, QueryResult, to_query_result, to_retry_millis},
};
use crate::Node;

/// Executes a query at this node.
pub(super) struct QueryExecutor<'a> {
    node: &'a Node,
    runtime: &'a ServiceRuntime,
    deadline: TimePoint,
}

impl<'a> QueryExecutor<'a> {
    /// Creates an executor for a query with this deadline.
    pub(super) fn new(node: &'a Node, runtime: &'a ServiceRuntime, deadline: TimePoint) -> Self {
        Self { node, runtime, deadline }
    }

    /// Runs the query if the service is within its limit of queries in flight.
    pub(super) async fn run(
        &self,
        command: QueryCommand,
        mut caller_disconnected: mpsc::Receiver<()>,
    ) -> QueryResult {
        let timer = self.node.timer();
        if let Err(rejection) = self.runtime.router().admit(timer.now()) {
            self.node.count_overload_rejection(self.runtime.name());
            let message = "the service has as many queries as its upstreams can take";
            return Err(QueryProblem::not_run(ProblemCode::Overloaded, message)
                .retry_after_ms(to_retry_millis(rejection.retry_after)));
        }
        let permit = AdmissionPermit { runtime: self.runtime, timer };
        let result = match self.node.admit_query(&command) {
            Ok(kind) => {
                let is_suspect = kind != AttemptKind::Ordinary;
                let result =
                    self.try_snapshots(&command, is_suspect, &mut caller_disconnected).await;
                if kind == AttemptKind::Trial {
                    self.node.end_trial(&command);
                }
                result
            }
            Err(problem) => Err(problem),
        };
        drop(permit);
        result
    }

    async fn try_snapshots(
        &self,
        command: &QueryCommand,
        is_suspect: bool,
        caller_disconnected: &mut mpsc::Receiver<()>,
    ) -> QueryResult {
        let mut attempts = QueryAttempts::new();
        loop {
            let Some(map) = self.runtime.preferred_map(attempts.unavailable_snapshots()) else {
                return attempts
                    .into_last_result()
                    .map_or_else(|| Err(no_snapshot()), to_query_result);
            };
            let plan = self.plan(command, map, is_suspect);
            let driver = FanOutDriver::new(self.node, self.runtime, plan, command);
            let result = driver.run(&attempts, caller_disconnected).await;
            let Some(result) = attempts.finish(result) else {
                RuntimeCounters::add(&self.runtime.counters().snapshot_restarts, 1);
                continue;
            };
            if result.coverage.contributed == result.coverage.total {
                self.node.record_answer(command);
            }
            self.count_result(&result);
            return to_query_result(result);
        }
    }

    fn plan(&self, command: &QueryCommand, map: Arc<SnapshotMap>, is_suspect: bool) -> FanOutPlan {
        let definition = self.runtime.definition();
        let latency_target = Duration::from_millis(definition.latency_target_ms);
        FanOutPlan {
            request: command.request,
            map,
            idempotent: definition.idempotent,
            latency_target: (self.node.timer().now() + latency_target).min(self.deadline),
            deadline: self.deadline,
            coverage_target: definition.coverage_target,
            coverage_minimum: definition.coverage_minimum,
            max_calls: None,
            is_suspect,
            is_repeat: false,
        }
    }

    fn count_result(&self, result: &FanOutResult) {
        let counters = self.runtime.counters();
        RuntimeCounters::add(&counters.calls, u64::from(result.calls));
        RuntimeCounters::add(&counters.shards, u64::from(result.coverage.total));
        self.node.record_coverage(self.runtime.name(), result);
    }
}

/// Counts a query against the service's limit of queries in flight until this is dropped.
struct AdmissionPermit<'a> {
    runtime: &'a ServiceRuntime,
    timer: &'a TimerService,
}

impl Drop for AdmissionPermit<'_> {
    fn drop(&mut self) {
        self.runtime.router().finish(self.timer.now());
    }
}

fn no_snapshot() -> QueryProblem {
    let message = "no snapshot of the service's data is known to be complete enough";
    QueryProblem::not_run(ProblemCode::NoSnapshot, message).retry_after_ms(DEFAULT_RETRY_MS)
}

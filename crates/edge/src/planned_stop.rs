//! The phases of a planned stop, and what becomes of the requests in flight.

use std::time::Duration;

use mux_config::traffic::{ExecutionSemantics, RouteRule};
use mux_model::TimePoint;
use mux_query::{AnswerTiming, StopSchedule};

use crate::edge_state::{EdgeState, StopPhase};

/// Part of the stop grace period after which connections without a request are closed, in percent.
/// Callers use an address for at most three lifetimes of its answer, which end before this time if
/// the lifetime is at most a fifth of the grace period.
const IDLE_CLOSE_PERCENT: u32 = 60;
/// Time before the end of the stop grace period at which the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time from the final answers to the requests in flight to the exit, in which they reach the callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Largest part of the stop grace period that each of the margins takes, in percent.
const MAX_MARGIN_PERCENT: u32 = 10;

/// The times of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PlannedStop {
    /// Time from which connections without a request are closed.
    pub(crate) idle_close_at: TimePoint,
    /// Time by which the process exits.
    pub(crate) exit_at: TimePoint,
    schedule: StopSchedule,
}

impl PlannedStop {
    /// Returns the times of a stop that begins at `now` and has `grace_period` until the process is killed.
    pub(crate) fn new(now: TimePoint, grace_period: Duration) -> Self {
        let max_margin = grace_period * MAX_MARGIN_PERCENT / 100;
        let exit_at = now + (grace_period - EXIT_MARGIN.min(max_margin));
        let answer_by = exit_at - ANSWER_MARGIN.min(max_margin);
        Self {
            idle_close_at: now + grace_period * IDLE_CLOSE_PERCENT / 100,
            exit_at,
            schedule: StopSchedule { answer_by },
        }
    }

    /// Returns whether a request on the route of `rule` can be expected to be complete in time.
    pub(crate) fn takes(&self, now: TimePoint, rule: &RouteRule, timing: &AnswerTiming) -> bool {
        let allowed = timing.deadline.since(now);
        match rule.execution {
            ExecutionSemantics::Idempotent => {
                self.schedule.takes_idempotent(now, allowed, rule.latency_target)
            }
            ExecutionSemantics::AtMostOnce => {
                self.schedule.takes_at_most_once(now, allowed, rule.latency_target)
            }
        }
    }
}

/// Waits until the requests in flight at this node need their final answers, as it is about to exit.
pub(crate) async fn wait_for_final_answers(edge: &EdgeState) {
    let mut phase = edge.stop_phase.subscribe();
    // No error is possible: the state of the node owns the sender.
    let stopping = phase.wait_for(|it| *it != StopPhase::Serving).await.map(|it| *it);
    if let Ok(StopPhase::Stopping(stop)) = stopping {
        edge.timer.sleep_until(stop.schedule.answer_by).await;
    }
}

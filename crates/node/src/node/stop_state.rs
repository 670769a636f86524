//! The phases of a planned stop.

use std::time::Duration;

use mux_model::TimePoint;
use mux_query::StopSchedule;
use mux_timer::TimerService;
use tokio::sync::watch;

/// Phase of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// No stop was requested.
    Serving,
    /// The node is no longer advertised to callers and still admits the queries that it can complete.
    Leaving,
    /// The node rejects new queries as not run and finishes those in flight.
    Rejecting,
}

/// The current phase of the planned stop, which only moves forward.
#[derive(Debug)]
pub(crate) struct StopState {
    progress: watch::Sender<StopProgress>,
}

#[derive(Debug, Clone, Copy)]
struct StopProgress {
    phase: StopPhase,
    /// When queries in flight are interrupted; `None` before the stop.
    schedule: Option<StopSchedule>,
}

impl Default for StopState {
    fn default() -> Self {
        let progress = StopProgress { phase: StopPhase::Serving, schedule: None };
        Self { progress: watch::Sender::new(progress) }
    }
}

impl StopState {
    /// Returns the phase.
    pub(crate) fn phase(&self) -> StopPhase {
        self.progress.borrow().phase
    }

    /// Returns when queries in flight are interrupted; `None` before the stop.
    pub(crate) fn schedule(&self) -> Option<StopSchedule> {
        self.progress.borrow().schedule
    }

    /// Begins the stop, which interrupts queries after `limit`; returns `false` if it has begun before.
    pub(crate) fn begin(&self, now: TimePoint, limit: Duration) -> bool {
        self.progress.send_if_modified(|progress| {
            let is_first = progress.phase == StopPhase::Serving;
            if is_first {
                let schedule = Some(StopSchedule { answer_by: now + limit });
                *progress = StopProgress { phase: StopPhase::Leaving, schedule };
            }
            is_first
        })
    }

    /// Rejects new queries from now on.
    pub(crate) fn reject_queries(&self) {
        self.progress.send_modify(|it| it.phase = StopPhase::Rejecting);
    }

    /// Waits until queries in flight have to be interrupted.
    pub(crate) async fn wait_for_interruption(&self, timer: &TimerService) {
        let mut progress = self.progress.subscribe();
        // No error is possible: this state owns the sender.
        let stopping = progress.wait_for(|it| it.schedule.is_some()).await.map(|it| it.schedule);
        if let Ok(Some(schedule)) = stopping {
            timer.sleep_until(schedule.answer_by).await;
        }
    }
}

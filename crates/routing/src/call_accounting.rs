//! Accounting of a service's calls: hedge and retry budget, overload detection and counts.

use mux_model::{CallFailure, NotRunReason, TimePoint, UpstreamId};

use crate::{
    AcquireError, CallKind, CallOutcome, RouterCounts, extra_load_budget::ExtraLoadBudget,
    overload_detector::OverloadDetector, router_settings::RouterSettings,
};

/// Enforces the budget for hedges and retries, detects overload and counts calls.
#[derive(Debug)]
pub(crate) struct CallAccounting {
    budget: ExtraLoadBudget,
    overload_detector: OverloadDetector,
    slots_are_scarce: bool,
    counts: RouterCounts,
}

impl CallAccounting {
    /// Creates the accounting of a service without calls.
    pub(crate) fn new() -> Self {
        Self {
            budget: ExtraLoadBudget::new(),
            overload_detector: OverloadDetector::default(),
            slots_are_scarce: false,
            counts: RouterCounts::default(),
        }
    }

    /// Returns the event counts.
    pub(crate) fn counts(&self) -> RouterCounts {
        self.counts
    }

    /// Returns the number of tokens left in the budget; a retry needs one, and a hedge must leave
    /// the reserve for retries.
    pub(crate) fn tokens(&self) -> f64 {
        self.budget.tokens()
    }

    /// Returns whether the service is overloaded.
    pub(crate) fn is_overloaded(&mut self, now: TimePoint) -> bool {
        self.slots_are_scarce || self.overload_detector.is_overloaded(now)
    }

    /// Sets whether admission control found slots too scarce for hedges and retries.
    pub(crate) fn set_slots_scarce(&mut self, slots_are_scarce: bool) {
        self.slots_are_scarce = slots_are_scarce;
    }

    /// Charges the budget, if there is one, for a hedge or retry; returns whether the call may be
    /// sent.
    ///
    /// With a budget, overload also suspends hedges and retries, as they would displace first
    /// calls.
    pub(crate) fn try_charge(
        &mut self,
        now: TimePoint,
        kind: CallKind,
        settings: &RouterSettings,
    ) -> bool {
        if kind.is_first_arrival() || settings.budget_ratio.is_none() {
            return true;
        }
        let is_charged = !self.is_overloaded(now) && self.budget.try_withdraw(kind);
        self.counts.budget_refusals += u64::from(!is_charged);
        is_charged
    }

    /// Records whether a call of `kind`, already charged to the budget, acquired a slot.
    pub(crate) fn record_acquire(
        &mut self,
        now: TimePoint,
        kind: CallKind,
        acquired: Result<UpstreamId, AcquireError>,
        settings: &RouterSettings,
    ) {
        match (kind, acquired) {
            (CallKind::First, Ok(_)) => {
                self.counts.first_calls += 1;
                self.overload_detector.record_normal(now);
                self.budget.deposit(settings.budget_ratio.unwrap_or_default());
            }
            (CallKind::First, Err(AcquireError::Saturated { .. })) => {
                self.counts.saturated_calls += 1;
            }
            (CallKind::First, Err(_)) | (CallKind::Resend, _) => {}
            (CallKind::Hedge, Ok(_)) => self.counts.hedges += 1,
            (CallKind::Retry, Ok(_)) => self.counts.retries += 1,
            (CallKind::Hedge | CallKind::Retry, Err(_)) if settings.budget_ratio.is_some() => {
                self.budget.refund();
            }
            (CallKind::Hedge | CallKind::Retry, Err(_)) => {}
        }
    }

    /// Records the outcome of a call if it indicates overload.
    pub(crate) fn record_outcome(&mut self, now: TimePoint, outcome: CallOutcome) {
        if indicates_overload(outcome) {
            self.overload_detector.record_overload(now);
        }
    }

    /// Records a refused query.
    pub(crate) fn record_refused_query(&mut self) {
        self.counts.refused_queries += 1;
    }
}

fn indicates_overload(outcome: CallOutcome) -> bool {
    let CallOutcome::Failed(failure, _) = outcome else {
        return false;
    };
    matches!(
        failure,
        CallFailure::DeadlinePassed
            | CallFailure::NotRun { reason: NotRunReason::Shed | NotRunReason::DeadlinePassed, .. }
    )
}

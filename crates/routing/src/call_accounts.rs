//! Accounts of a service's calls: the budget for extra ones, signs of overload, and counts.

use mux_model::{CallFailure, NotRunReason, TimePoint, UpstreamId};

use crate::{
    AcquireError, CallKind, CallOutcome, RouterCounts, load_budget::LoadBudget,
    overload_meter::OverloadMeter, router_settings::RouterSettings,
};

/// Decides which hedges and retries are paid for.
#[derive(Debug)]
pub(crate) struct CallAccounts {
    budget: LoadBudget,
    meter: OverloadMeter,
    is_saturated: bool,
    counts: RouterCounts,
}

impl CallAccounts {
    /// Creates the accounts of a service that starts.
    pub(crate) fn new() -> Self {
        Self {
            budget: LoadBudget::new(),
            meter: OverloadMeter::default(),
            is_saturated: false,
            counts: RouterCounts::default(),
        }
    }

    /// Returns what was counted.
    pub(crate) fn counts(&self) -> RouterCounts {
        self.counts
    }

    /// Returns the hedges and retries that could be sent at once.
    pub(crate) fn tokens(&self) -> f64 {
        self.budget.tokens()
    }

    /// Returns whether the service is overloaded.
    pub(crate) fn is_overloaded(&mut self, now: TimePoint) -> bool {
        self.is_saturated || self.meter.is_overloaded(now)
    }

    /// Sets whether first calls have to wait markedly for slots.
    pub(crate) fn set_saturated(&mut self, is_saturated: bool) {
        self.is_saturated = is_saturated;
    }

    /// Pays for a call of `kind`; returns whether it may be sent.
    ///
    /// Under overload nothing is paid for, as extra calls would displace first calls.
    pub(crate) fn try_pay(
        &mut self,
        now: TimePoint,
        kind: CallKind,
        settings: &RouterSettings,
    ) -> bool {
        if kind == CallKind::First || settings.budget.is_none() {
            return true;
        }
        let is_paid = !self.is_overloaded(now) && self.budget.try_take(kind);
        self.counts.budget_refusals += u64::from(!is_paid);
        is_paid
    }

    /// Takes in whether a slot was found for a call of `kind` that was paid for.
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
                self.meter.record_calm(now);
                self.budget.fund(settings.budget.unwrap_or_default());
            }
            (CallKind::First, Err(AcquireError::Saturated { .. })) => {
                self.counts.saturated_calls += 1;
            }
            (CallKind::First, Err(_)) => {}
            (CallKind::Hedge, Ok(_)) => self.counts.hedges += 1,
            (CallKind::Retry, Ok(_)) => self.counts.retries += 1,
            (CallKind::Hedge | CallKind::Retry, Err(_)) if settings.budget.is_some() => {
                self.budget.refund();
            }
            (CallKind::Hedge | CallKind::Retry, Err(_)) => {}
        }
    }

    /// Takes in how a call ended.
    pub(crate) fn record_outcome(&mut self, now: TimePoint, outcome: CallOutcome) {
        if is_sign_of_overload(outcome) {
            self.meter.record_pressed(now);
        }
    }

    /// Takes in a query that was refused.
    pub(crate) fn record_refused_query(&mut self) {
        self.counts.refused_queries += 1;
    }
}

fn is_sign_of_overload(outcome: CallOutcome) -> bool {
    let CallOutcome::Failed(failure, _) = outcome else {
        return false;
    };
    matches!(
        failure,
        CallFailure::DeadlinePassed
            | CallFailure::NotRun { reason: NotRunReason::Shed | NotRunReason::DeadlinePassed, .. }
    )
}

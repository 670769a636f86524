//! This node's knowledge of requests that crash upstreams.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use mux_quarantine::{Evidence, IDLE_LIFETIME, SharedLedger};
use mux_timer::TimerService;
use tokio::sync::{Notify, mpsc, oneshot};

/// Maximum number of claims of trials that wait for the store; further ones are not made.
const MAX_PENDING_CLAIMS: usize = 16;
/// Time for which a request waits for the claim of its trial; then it is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);

/// A request of the request path to claim a trial in the store.
#[derive(Debug)]
pub(crate) struct TrialClaim {
    pub(crate) trial: Evidence,
    /// Receives whether this node may make the trial.
    pub(crate) granted: oneshot::Sender<bool>,
}

/// The evidence against requests, and what connects it with the task that shares it.
#[derive(Debug)]
pub(crate) struct RequestQuarantine {
    pub(crate) ledger: SharedLedger,
    /// Wakes the task that shares evidence.
    pub(crate) evidence_added: Notify,
    /// Wakes the task that passes evidence on to peers.
    pub(crate) notice_due: Notify,
    claims: mpsc::Sender<TrialClaim>,
    /// The receiver of the claims, until the task that shares evidence takes it.
    pending_claims: Mutex<Option<mpsc::Receiver<TrialClaim>>>,
}

impl RequestQuarantine {
    pub(crate) fn new() -> Self {
        let (claims, pending_claims) = mpsc::channel(MAX_PENDING_CLAIMS);
        Self {
            ledger: SharedLedger::new(IDLE_LIFETIME.mul_f64(1.0 + rand::random::<f64>())),
            evidence_added: Notify::new(),
            notice_due: Notify::new(),
            claims,
            pending_claims: Mutex::new(Some(pending_claims)),
        }
    }

    /// Takes the receiver of the claims; `None` if it was taken before.
    pub(crate) fn take_claims(&self) -> Option<mpsc::Receiver<TrialClaim>> {
        self.pending_claims.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Claims a trial in the store; returns whether this node may make it. A trial that is granted too
    /// late is not made.
    pub(crate) async fn claim(&self, timer: &TimerService, trial: Evidence) -> bool {
        let (granted, result) = oneshot::channel();
        if self.claims.try_send(TrialClaim { trial, granted }).is_err() {
            return false;
        }
        matches!(timer.timeout(CLAIM_TIMEOUT, result).await, Ok(Ok(true)))
    }
}

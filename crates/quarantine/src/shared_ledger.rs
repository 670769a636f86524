//! A ledger that tasks share.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::CrashLedger;

/// A [`CrashLedger`] that costs requests no lock while there is no evidence.
#[derive(Debug)]
pub struct SharedLedger {
    ledger: Mutex<CrashLedger>,
    is_empty: AtomicBool,
}

impl SharedLedger {
    /// Creates an empty ledger that forgets requests after `idle_lifetime` without activity.
    pub fn new(idle_lifetime: Duration) -> Self {
        let ledger = CrashLedger::new(idle_lifetime);
        Self { ledger: Mutex::new(ledger), is_empty: AtomicBool::new(true) }
    }

    /// Returns whether there is no evidence against any request.
    pub fn is_empty(&self) -> bool {
        self.is_empty.load(Ordering::Relaxed)
    }

    /// Calls `update` with exclusive access to the ledger.
    pub fn update<T>(&self, update: impl FnOnce(&mut CrashLedger) -> T) -> T {
        // A panic leaves no partial change that later decisions depend on.
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        let result = update(&mut ledger);
        self.is_empty.store(ledger.is_empty(), Ordering::Relaxed);
        result
    }
}

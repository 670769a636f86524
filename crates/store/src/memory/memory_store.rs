//! In-memory store with fault injection.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use mux_model::TimePoint;
use mux_timer::TimerService;
use tokio::{sync::watch, task};

use super::{KvState, WriteError};
use crate::{KvStore, LeaseId, StoreError, StoredValue, ValueVersion, VmList};

/// In-memory [`KvStore`]; clones share the contents and the injected faults.
///
/// Each call yields to other tasks before it takes effect, so that concurrent callers
/// interleave even on one thread.
#[derive(Debug, Clone)]
pub struct MemoryStore {
    timer: TimerService,
    shared: Arc<SharedState>,
}

#[derive(Debug)]
struct SharedState {
    contents: Mutex<StoreContents>,
    changes: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct StoreContents {
    kv: KvState,
    vms: VmList,
    down: bool,
    last_available_call: Option<u64>,
    replies_to_lose: u32,
    writes_to_lose: u32,
    faulty_key: Option<String>,
    clock_advance: Duration,
    calls: u64,
}

impl MemoryStore {
    /// Creates an empty store.
    pub fn new(timer: TimerService) -> Self {
        let contents = Mutex::new(StoreContents::default());
        let shared = SharedState { contents, changes: watch::Sender::new(0) };
        Self { timer, shared: Arc::new(shared) }
    }

    /// Sets whether every call fails with [`StoreError::Unavailable`], and cancels
    /// [`Self::set_down_after`].
    pub fn set_down(&self, down: bool) {
        let mut contents = self.contents();
        contents.down = down;
        contents.last_available_call = None;
        drop(contents);
        self.notify_watchers();
    }

    /// Makes every call after the next `calls` fail with [`StoreError::Unavailable`].
    pub fn set_down_after(&self, calls: u64) {
        let mut contents = self.contents();
        contents.last_available_call = Some(contents.calls + calls);
    }

    /// Applies the next `count` writes or deletions of `key` but reports their outcome as unknown.
    pub fn lose_replies(&self, key: &str, count: u32) {
        let mut contents = self.contents();
        contents.faulty_key = Some(key.to_owned());
        contents.replies_to_lose = count;
    }

    /// Drops the next `count` writes or deletions of `key` and reports their outcome as unknown.
    pub fn lose_writes(&self, key: &str, count: u32) {
        let mut contents = self.contents();
        contents.faulty_key = Some(key.to_owned());
        contents.writes_to_lose = count;
    }

    /// Advances the clock that determines when leases expire.
    pub fn advance_clock(&self, step: Duration) {
        self.contents().clock_advance += step;
    }

    /// Replaces the VM list.
    pub fn set_vms(&self, vms: VmList) {
        self.contents().vms = vms;
    }

    /// Returns the number of calls made so far.
    pub fn calls(&self) -> u64 {
        self.contents().calls
    }

    async fn begin_call(&self) -> Result<MutexGuard<'_, StoreContents>, StoreError> {
        task::yield_now().await;
        let mut contents = self.contents();
        contents.calls += 1;
        let is_past_last_call = contents.last_available_call.is_some_and(|it| it < contents.calls);
        if contents.down || is_past_last_call {
            return Err(unavailable());
        }
        Ok(contents)
    }

    async fn begin_write(&self, key: &str) -> Result<MutexGuard<'_, StoreContents>, StoreError> {
        let mut contents = self.begin_call().await?;
        if contents.faulty_key.as_deref() == Some(key) && 0 < contents.writes_to_lose {
            contents.writes_to_lose -= 1;
            return Err(unknown());
        }
        Ok(contents)
    }

    fn finish_write<T>(&self, key: &str, value: T) -> Result<T, StoreError> {
        self.notify_watchers();
        let mut contents = self.contents();
        if contents.faulty_key.as_deref() == Some(key) && 0 < contents.replies_to_lose {
            contents.replies_to_lose -= 1;
            return Err(unknown());
        }
        Ok(value)
    }

    async fn wait_for_change(
        &self,
        key: &str,
        after: ValueVersion,
    ) -> Result<StoredValue, StoreError> {
        let mut changes = self.shared.changes.subscribe();
        loop {
            changes.borrow_and_update();
            if let Some(stored) = self.newer_value(key, after)? {
                return Ok(stored);
            }
            changes.changed().await.map_err(|_| unavailable())?;
        }
    }

    fn newer_value(
        &self,
        key: &str,
        after: ValueVersion,
    ) -> Result<Option<StoredValue>, StoreError> {
        let contents = self.contents();
        if contents.down {
            return Err(unavailable());
        }
        Ok(contents.kv.get(key).filter(|it| after < it.version).cloned())
    }

    fn lease_clock_now(&self, contents: &StoreContents) -> TimePoint {
        self.timer.now() + contents.clock_advance
    }

    fn contents(&self) -> MutexGuard<'_, StoreContents> {
        self.shared.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_watchers(&self) {
        self.shared.changes.send_modify(|it| *it += 1);
    }
}

impl KvStore for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        Ok(self.begin_call().await?.kv.get(key).cloned())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, StoreError> {
        Ok(self.begin_call().await?.kv.keys(prefix))
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: &str,
        expected: ValueVersion,
        lease: Option<LeaseId>,
    ) -> Result<ValueVersion, StoreError> {
        let version = {
            let mut contents = self.begin_write(key).await?;
            let now = self.lease_clock_now(&contents);
            contents.kv.put(now, key, value.to_owned(), expected, lease)?
        };
        self.finish_write(key, version)
    }

    async fn delete(&self, key: &str, expected: ValueVersion) -> Result<(), StoreError> {
        {
            let mut contents = self.begin_write(key).await?;
            let now = self.lease_clock_now(&contents);
            contents.kv.delete(now, key, expected)?;
        }
        self.finish_write(key, ())
    }

    async fn watch(
        &self,
        key: &str,
        after: ValueVersion,
        limit: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        drop(self.begin_call().await?);
        match self.timer.timeout(limit, self.wait_for_change(key, after)).await {
            Ok(result) => result.map(Some),
            Err(_) => Ok(None),
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let mut contents = self.begin_call().await?;
        let now = self.lease_clock_now(&contents);
        Ok(contents.kv.grant(now, ttl))
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let mut contents = self.begin_call().await?;
        let now = self.lease_clock_now(&contents);
        if contents.kv.renew(now, lease) { Ok(()) } else { Err(StoreError::LeaseExpired) }
    }

    async fn list_vms(&self) -> Result<VmList, StoreError> {
        Ok(self.begin_call().await?.vms.clone())
    }
}

impl From<WriteError> for StoreError {
    fn from(error: WriteError) -> Self {
        match error {
            WriteError::VersionMismatch(current) => {
                let current = current.first().map(|it| it.1).unwrap_or_default();
                Self::VersionMismatch { current }
            }
            WriteError::LeaseExpired => Self::LeaseExpired,
            WriteError::ValueTooLarge => {
                Self::Unavailable("the value is larger than 1 MB".to_owned())
            }
        }
    }
}

fn unavailable() -> StoreError {
    StoreError::Unavailable("the store is down".to_owned())
}

fn unknown() -> StoreError {
    StoreError::Unknown("no reply".to_owned())
}

//! Commits configuration changes to the store.

use std::time::Duration;

use mux_model::{RevisionNumber, TimePoint};
use mux_store::{KvStore, StoreError, ValueVersion};
use mux_timer::TimerService;

use crate::{
    ChangeError, ChangeKind, ChangeRecord, ConfigHead, FieldDiff, LoadError, ServiceChange,
    ServiceDefinition,
    audit_trail::{archive_record, read_archived_change, read_value, record_refusal},
    diff_definitions,
    storage_keys::{HEAD_KEY, definition_key},
};

const INITIAL_BACKOFF_MS: u64 = 10;
const MAX_BACKOFF_MS: u64 = 320;

/// Successful outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change was committed by this call.
    Committed(ChangeRecord),
    /// The change was committed by an earlier call.
    AlreadyDone(ChangeRecord),
}

/// Effect that a change would have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangePreview {
    /// Configuration revision on which the preview is based.
    pub revision: RevisionNumber,
    /// Fields that would change.
    pub diffs: Vec<FieldDiff>,
}

/// Commits changes by compare-and-swap of the head.
///
/// A definition is stored before the head that names it, and a record that the new head drops is
/// archived before the head is replaced.
#[derive(Debug, Clone)]
pub struct ConfigWriter<S> {
    store: S,
    timer: TimerService,
    change_limit: Duration,
}

/// A compare-and-swap of the head whose outcome is unknown because no reply arrived.
#[derive(Debug, Clone)]
struct UncertainSwap {
    compared_version: ValueVersion,
    error: StoreError,
}

/// Failure of one attempt to commit a change.
#[derive(Debug)]
enum AttemptFailure {
    /// The change is not retried, unless the outcome of a swap is unknown: another attempt may then
    /// determine it.
    Final(ChangeError),
    /// Another attempt may succeed.
    Retry(ChangeError),
}

impl ChangeOutcome {
    /// Returns the record of the change.
    pub fn record(&self) -> &ChangeRecord {
        match self {
            Self::Committed(record) | Self::AlreadyDone(record) => record,
        }
    }
}

impl<S: KvStore> ConfigWriter<S> {
    /// Creates a writer that retries each change for at most `change_limit`.
    pub fn new(store: S, timer: TimerService, change_limit: Duration) -> Self {
        Self { store, timer, change_limit }
    }

    /// Commits `change`; `applied` is the revision that this node has applied.
    ///
    /// Returns [`ChangeOutcome::AlreadyDone`] if the same change was committed before under the
    /// same id. Attempts that collide with changes of other services are retried.
    ///
    /// # Errors
    ///
    /// Returns an error if the change was not committed, or if its outcome was still unknown at
    /// the time limit.
    pub async fn apply(
        &self,
        change: &ServiceChange,
        applied: RevisionNumber,
    ) -> Result<ChangeOutcome, ChangeError> {
        change.check()?;
        let result = self.apply_checked(change, applied).await;
        if let Err(error) = &result {
            self.record_refusal(change, error).await;
        }
        result
    }

    /// Returns the effect that `change` would have, without storing anything.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is invalid or expects another revision, or if the store
    /// fails.
    pub async fn preview(&self, change: &ServiceChange) -> Result<ChangePreview, ChangeError> {
        change.check()?;
        let (head, _) = ConfigHead::read(&self.store).await.map_err(unavailable)?;
        check_expected(&head, change)?;
        let old = self.current_definition(&head, change).await.map_err(unavailable)?;
        let diffs = diff_definitions(old.as_ref(), change.definition());
        Ok(ChangePreview { revision: head.revision, diffs })
    }

    async fn apply_checked(
        &self,
        change: &ServiceChange,
        applied: RevisionNumber,
    ) -> Result<ChangeOutcome, ChangeError> {
        let deadline = self.timer.now() + self.change_limit;
        let mut uncertain = None;
        let mut backoff_ms = INITIAL_BACKOFF_MS;
        loop {
            let failure = match self.attempt(change, applied, &mut uncertain).await {
                Ok(outcome) => return Ok(outcome),
                Err(failure) => failure,
            };
            if let Some(error) = self.final_error(failure, uncertain.as_ref(), deadline) {
                return Err(error);
            }
            let wait_ms = rand::random_range(1..=backoff_ms);
            self.timer.sleep(Duration::from_millis(wait_ms)).await;
            backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
        }
    }

    /// Returns the error to report, or `None` if the change should be retried.
    fn final_error(
        &self,
        failure: AttemptFailure,
        uncertain: Option<&UncertainSwap>,
        deadline: TimePoint,
    ) -> Option<ChangeError> {
        let repeatable = matches!(failure, AttemptFailure::Retry(_)) || uncertain.is_some();
        if repeatable && self.timer.now() < deadline {
            return None;
        }
        let (AttemptFailure::Retry(error) | AttemptFailure::Final(error)) = failure;
        Some(uncertain.map_or(error, |it| ChangeError::OutcomeUnknown(it.error.clone())))
    }

    async fn attempt(
        &self,
        change: &ServiceChange,
        applied: RevisionNumber,
        uncertain: &mut Option<UncertainSwap>,
    ) -> Result<ChangeOutcome, AttemptFailure> {
        let (head, version) = ConfigHead::read(&self.store).await?;
        if let Some(record) = self.find_record(&head, change).await? {
            return repeated_outcome(change, record, uncertain.take());
        }
        uncertain.take_if(|it| it.compared_version != version);
        check_store_not_behind(&head, applied)?;
        check_expected(&head, change)?;
        self.store_definition(change).await?;
        for record in head.displaced() {
            archive_record(&self.store, record).await.map_err(pre_commit_failure)?;
        }
        self.swap_head(&head, version, change, uncertain).await
    }

    async fn swap_head(
        &self,
        head: &ConfigHead,
        version: ValueVersion,
        change: &ServiceChange,
        uncertain: &mut Option<UncertainSwap>,
    ) -> Result<ChangeOutcome, AttemptFailure> {
        let record = self.build_record(head, change).await?;
        let text = head.advance(record.clone()).to_json();
        match self.store.compare_and_swap(HEAD_KEY, &text, version, None).await {
            Ok(_) => Ok(ChangeOutcome::Committed(record)),
            Err(StoreError::VersionMismatch { .. }) => {
                Err(AttemptFailure::Retry(ChangeError::Contended))
            }
            Err(error @ StoreError::Unknown(_)) => {
                *uncertain =
                    Some(UncertainSwap { compared_version: version, error: error.clone() });
                Err(AttemptFailure::Retry(ChangeError::OutcomeUnknown(error)))
            }
            Err(error) => Err(AttemptFailure::Final(ChangeError::Unavailable(error))),
        }
    }

    async fn build_record(
        &self,
        head: &ConfigHead,
        change: &ServiceChange,
    ) -> Result<ChangeRecord, AttemptFailure> {
        let record = change.record(head.next_revision());
        if change.kind() != ChangeKind::Update {
            return Ok(record);
        }
        let old = self.current_definition(head, change).await?;
        let diffs = diff_definitions(old.as_ref(), change.definition());
        Ok(record.with_fields(diffs))
    }

    async fn find_record(
        &self,
        head: &ConfigHead,
        change: &ServiceChange,
    ) -> Result<Option<ChangeRecord>, LoadError> {
        match head.record(&change.id) {
            Some(record) => Ok(Some(record.clone())),
            None => read_archived_change(&self.store, &change.id).await,
        }
    }

    /// Writes the definition, also if it is already stored: the new version keeps a janitor pass
    /// that started earlier from deleting it.
    async fn store_definition(&self, change: &ServiceChange) -> Result<(), AttemptFailure> {
        let Some(definition) = change.definition() else {
            return Ok(());
        };
        let key = definition_key(&change.service, &change.id);
        let text = definition.to_json();
        let stored = self.store.get(&key).await.map_err(pre_commit_failure)?;
        if stored.as_ref().is_some_and(|it| it.value != text) {
            let error = ChangeError::ChangeIdReused(change.id.clone());
            return Err(AttemptFailure::Final(error));
        }
        let version = stored.map_or_else(ValueVersion::default, |it| it.version);
        let written = self.store.compare_and_swap(&key, &text, version, None).await;
        written.map(|_| ()).map_err(pre_commit_failure)
    }

    async fn current_definition(
        &self,
        head: &ConfigHead,
        change: &ServiceChange,
    ) -> Result<Option<ServiceDefinition>, LoadError> {
        let Some(entry) = head.service(&change.service) else {
            return Ok(None);
        };
        let key = definition_key(&entry.name, &entry.change);
        match read_value(&self.store, &key).await {
            Ok(stored) => stored.map(Some).ok_or(LoadError::ConcurrentChanges),
            // Operators have to be able to replace a definition that cannot be decoded.
            Err(LoadError::Malformed { .. } | LoadError::Store(StoreError::Unreadable(_))) => {
                Ok(None)
            }
            Err(error) => Err(error),
        }
    }

    /// Records a conflict or a reused change id in the audit trail; other errors are not recorded,
    /// and failures to store the record are ignored.
    async fn record_refusal(&self, change: &ServiceChange, error: &ChangeError) {
        let recorded =
            matches!(error, ChangeError::Conflict { .. } | ChangeError::ChangeIdReused(_));
        if recorded {
            let _ = record_refusal(&self.store, change, error).await;
        }
    }
}

impl From<ChangeError> for AttemptFailure {
    fn from(error: ChangeError) -> Self {
        Self::Final(error)
    }
}

impl From<LoadError> for AttemptFailure {
    fn from(error: LoadError) -> Self {
        match error {
            LoadError::ConcurrentChanges => Self::Retry(ChangeError::Contended),
            error => Self::Final(unavailable(error)),
        }
    }
}

fn repeated_outcome(
    change: &ServiceChange,
    record: ChangeRecord,
    uncertain: Option<UncertainSwap>,
) -> Result<ChangeOutcome, AttemptFailure> {
    if !change.matches(&record) {
        return Err(ChangeError::ChangeIdReused(change.id.clone()).into());
    }
    if uncertain.is_some() {
        return Ok(ChangeOutcome::Committed(record));
    }
    Ok(ChangeOutcome::AlreadyDone(record))
}

fn check_store_not_behind(head: &ConfigHead, applied: RevisionNumber) -> Result<(), ChangeError> {
    if applied <= head.revision {
        return Ok(());
    }
    Err(ChangeError::StoreBehind { stored: head.revision, applied })
}

fn check_expected(head: &ConfigHead, change: &ServiceChange) -> Result<(), ChangeError> {
    let current = head.service_revision(&change.service);
    if current == change.expected {
        return Ok(());
    }
    Err(ChangeError::Conflict {
        service: change.service.clone(),
        expected: change.expected,
        current,
        conflicting_change: head.latest_change(&change.service).cloned().map(Box::new),
    })
}

/// Classifies the failure of a step that precedes the commit.
fn pre_commit_failure(error: StoreError) -> AttemptFailure {
    match error {
        StoreError::Unavailable(_) | StoreError::Unreadable(_) => {
            AttemptFailure::Final(ChangeError::Unavailable(error))
        }
        _ => AttemptFailure::Retry(ChangeError::Unavailable(error)),
    }
}

fn unavailable(error: LoadError) -> ChangeError {
    match error {
        LoadError::Store(error) => ChangeError::Unavailable(error),
        other => ChangeError::Unavailable(StoreError::Unavailable(other.to_string())),
    }
}

//! The upstreams that a node takes to be there.

use mux_model::{FastMap, FastSet, InstanceId, ServiceName};

use super::{UpstreamPhase, UpstreamRecord};

/// What an entry has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordChange {
    /// The upstream was not known.
    Added,
    /// The upstream says something new.
    Changed,
    /// The entry says what is known.
    Same,
    /// The entry is older than what is known.
    Outdated,
}

#[derive(Debug, Clone)]
struct KnownUpstream {
    record: UpstreamRecord,
    /// Set while the entry is missing and may come back.
    missing: bool,
    /// Set once another instance was found at the address.
    misdirected: bool,
}

/// Keeps one record an instance, in whatever order entries are read.
///
/// An entry that goes missing while the store is unreliable is kept until the caller of
/// [`Self::drop_missing`] knows that writers had the time to come back.
#[derive(Debug, Clone, Default)]
pub struct UpstreamRegistry {
    known: FastMap<InstanceId, KnownUpstream>,
}

impl UpstreamRegistry {
    /// Takes in one entry.
    pub fn on_record(&mut self, record: UpstreamRecord) -> RecordChange {
        self.drop_predecessor(&record);
        let Some(known) = self.known.get_mut(&record.instance) else {
            let known = KnownUpstream { record, missing: false, misdirected: false };
            self.known.insert(known.record.instance.clone(), known);
            return RecordChange::Added;
        };
        if record.age_order() < known.record.age_order() {
            return RecordChange::Outdated;
        }
        let was_missing = std::mem::take(&mut known.missing);
        if record == known.record && !was_missing {
            return RecordChange::Same;
        }
        known.misdirected &= record.age_order() == known.record.age_order();
        known.record = record;
        RecordChange::Changed
    }

    /// Takes in that an entry is gone; `doubtful` if its writer may still live.
    ///
    /// Returns whether the upstream is no longer used.
    pub fn on_removed(&mut self, instance: &InstanceId, doubtful: bool) -> bool {
        let Some(known) = self.known.get_mut(instance) else {
            return false;
        };
        if doubtful && known.record.phase == UpstreamPhase::Serving {
            known.missing = true;
            return false;
        }
        self.known.remove(instance);
        true
    }

    /// Takes in which entries a complete listing held; the others are gone.
    ///
    /// Returns the instances that are no longer used.
    pub fn on_listing(&mut self, listed: &FastSet<InstanceId>, doubtful: bool) -> Vec<InstanceId> {
        let absent: Vec<_> =
            self.known.keys().filter(|it| !listed.contains(*it)).cloned().collect();
        absent.into_iter().filter(|it| self.on_removed(it, doubtful)).collect()
    }

    /// Forgets the entries that are still missing, and returns them.
    pub fn drop_missing(&mut self) -> Vec<InstanceId> {
        let missing = self.known.extract_if(|_, it| it.missing);
        missing.map(|(instance, _)| instance).collect()
    }

    /// Returns whether any entry is missing and kept.
    pub fn has_missing(&self) -> bool {
        self.known.values().any(|it| it.missing)
    }

    /// Takes in that another instance answered at the address; returns whether that is news.
    pub fn on_misdirected(&mut self, instance: &InstanceId) -> bool {
        let known = self.known.get_mut(instance);
        known.is_some_and(|it| !std::mem::replace(&mut it.misdirected, true))
    }

    /// Returns the upstreams that new requests may go to, by service.
    pub fn by_service(&self) -> FastMap<ServiceName, Vec<&UpstreamRecord>> {
        let mut services: FastMap<ServiceName, Vec<&UpstreamRecord>> = FastMap::default();
        for known in self.known.values() {
            if known.record.phase == UpstreamPhase::Serving && !known.misdirected {
                services.entry(known.record.service.clone()).or_default().push(&known.record);
            }
        }
        for records in services.values_mut() {
            records.sort_by(|lhs, rhs| lhs.instance.cmp(&rhs.instance));
        }
        services
    }

    /// Returns the number of upstreams known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Forgets a missing instance whose address another one has taken over.
    fn drop_predecessor(&mut self, record: &UpstreamRecord) {
        self.known.retain(|instance, known| {
            let same_address = known.record.upstream == record.upstream;
            !(known.missing && same_address && *instance != record.instance)
        });
    }
}

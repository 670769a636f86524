//! Registry of the upstreams known to this node.

use std::collections::VecDeque;

use mux_model::{AvailabilityZone, FastMap, FastSet, InstanceId, ServiceName, UpstreamId};

use super::{EvacuatedZones, UpstreamPhase, UpstreamRecord};

/// Maximum number of dropped instances whose last record versions are remembered.
const MAX_DROPPED_INSTANCES: usize = 4_096;

/// Effect of a record on the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordChange {
    /// The upstream was not known.
    Added,
    /// The record differs from the known one, or the entry was missing before.
    Changed,
    /// The record equals the known one.
    Same,
    /// The record is older than the known one.
    Outdated,
}

#[derive(Debug, Clone)]
struct KnownUpstream {
    record: UpstreamRecord,
    /// Whether the entry is absent from the store but may reappear.
    missing: bool,
    /// Whether another instance has answered at the address.
    misdirected: bool,
}

/// Keeps the latest record of each instance, regardless of the order in which they are read.
///
/// If an entry disappears while the store is unreliable, so that its instance may still be alive,
/// the record is kept until [`Self::drop_missing`], unless the instance was draining or another one
/// reuses its address. `drop_missing` is to be called once writers have had time to renew their
/// entries.
#[derive(Debug, Clone, Default)]
pub struct UpstreamRegistry {
    known: FastMap<InstanceId, KnownUpstream>,
    dropped: DroppedVersions,
    /// The evacuated zones by the entries of the store.
    pub evacuated_zones: EvacuatedZones,
    obeys_evacuations: bool,
}

/// Record versions of dropped instances, in the order in which they were dropped.
///
/// A store that was restored from an older copy lists upstreams that have exited since. Such a record
/// is not newer than the last one that was seen, whereas a live upstream writes newer ones.
#[derive(Debug, Clone, Default)]
struct DroppedVersions {
    versions: FastMap<InstanceId, DroppedVersion>,
    order: VecDeque<InstanceId>,
}

#[derive(Debug, Clone, Copy)]
struct DroppedVersion {
    version: (u64, u64),
    /// Whether a record with this version comes from a copy of the store that is older than the
    /// removal. Otherwise, the upstream itself may have written it again after its lease expired.
    is_final: bool,
}

impl DroppedVersions {
    fn remember(&mut self, record: &UpstreamRecord) {
        // Without its start time, a restarted instance could not be told from the dropped one.
        if record.started_ms == 0 {
            return;
        }
        let dropped = DroppedVersion { version: record.version(), is_final: false };
        if self.versions.insert(record.instance.clone(), dropped).is_none() {
            self.order.push_back(record.instance.clone());
        }
        while MAX_DROPPED_INSTANCES < self.order.len() {
            if let Some(oldest) = self.order.pop_front() {
                self.versions.remove(&oldest);
            }
        }
    }

    fn is_outdated(&self, record: &UpstreamRecord) -> bool {
        self.versions.get(&record.instance).is_some_and(|it| {
            record.version() < it.version || it.is_final && record.version() == it.version
        })
    }
}

impl UpstreamRegistry {
    /// Applies the record of one entry.
    pub fn on_record(&mut self, record: UpstreamRecord) -> RecordChange {
        self.drop_replaced(&record);
        let Some(known) = self.known.get_mut(&record.instance) else {
            if self.dropped.is_outdated(&record) {
                return RecordChange::Outdated;
            }
            let known = KnownUpstream { record, missing: false, misdirected: false };
            self.known.insert(known.record.instance.clone(), known);
            return RecordChange::Added;
        };
        if record.version() < known.record.version() {
            return RecordChange::Outdated;
        }
        let was_missing = std::mem::take(&mut known.missing);
        if record == known.record && !was_missing {
            return RecordChange::Same;
        }
        known.misdirected &= record.version() == known.record.version();
        known.record = record;
        RecordChange::Changed
    }

    /// Handles the removal of an entry from the store; `may_be_alive` tells whether the upstream
    /// may still be running.
    ///
    /// Returns whether the upstream was dropped.
    pub fn on_removed(&mut self, instance: &InstanceId, may_be_alive: bool) -> bool {
        let Some(known) = self.known.get_mut(instance) else {
            return false;
        };
        if may_be_alive && known.record.phase == UpstreamPhase::Serving {
            known.missing = true;
            return false;
        }
        self.drop_instance(instance);
        true
    }

    /// Handles a complete listing of the store; entries that are not listed count as removed.
    ///
    /// Returns the instances that were dropped.
    pub fn on_listing(
        &mut self,
        listed: &FastSet<InstanceId>,
        may_be_alive: bool,
    ) -> Vec<InstanceId> {
        let absent: Vec<_> =
            self.known.keys().filter(|it| !listed.contains(*it)).cloned().collect();
        absent.into_iter().filter(|it| self.on_removed(it, may_be_alive)).collect()
    }

    /// Records that the store was restored from an older copy, which may list upstreams that have
    /// been dropped since.
    pub fn on_store_restored(&mut self) {
        self.dropped.versions.values_mut().for_each(|it| it.is_final = true);
    }

    /// Drops the instances whose entries are still missing, and returns them.
    pub fn drop_missing(&mut self) -> Vec<InstanceId> {
        let missing = self.known.iter().filter(|(_, it)| it.missing);
        let missing: Vec<_> = missing.map(|(instance, _)| instance.clone()).collect();
        for instance in &missing {
            self.drop_instance(instance);
        }
        missing
    }

    /// Returns whether any instance whose entry is missing is still kept.
    pub fn has_missing(&self) -> bool {
        self.known.values().any(|it| it.missing)
    }

    /// Records that another instance answered at the address `upstream`, where `instance` was expected;
    /// returns whether this was not known before. It says nothing about an address to which the instance
    /// has moved since the call.
    pub fn on_misdirected(&mut self, instance: &InstanceId, upstream: UpstreamId) -> bool {
        let known = self.known.get_mut(instance).filter(|it| it.record.upstream == upstream);
        known.is_some_and(|it| !std::mem::replace(&mut it.misdirected, true))
    }

    /// Sets whether upstreams of evacuated zones are ineligible; the entries of zones are kept in any
    /// case.
    pub fn set_obeys_evacuations(&mut self, obeys_evacuations: bool) {
        self.obeys_evacuations = obeys_evacuations;
    }

    /// Returns the zones whose upstreams are ineligible because of an evacuation.
    pub fn closed_zones(&self) -> FastSet<AvailabilityZone> {
        let zones = self.evacuated_zones.iter().filter(|_| self.obeys_evacuations);
        zones.map(|(zone, _)| zone.clone()).collect()
    }

    /// Returns the number of known upstreams in `zone`.
    pub fn count_in_zone(&self, zone: &AvailabilityZone) -> usize {
        self.known.values().filter(|it| it.record.availability_zone == *zone).count()
    }

    fn is_closed(&self, zone: &AvailabilityZone) -> bool {
        self.obeys_evacuations && self.evacuated_zones.contains(zone)
    }

    /// Returns the upstreams that are eligible for new requests, by service.
    pub fn by_service(&self) -> FastMap<ServiceName, Vec<&UpstreamRecord>> {
        let mut services: FastMap<ServiceName, Vec<&UpstreamRecord>> = FastMap::default();
        for known in self.known.values() {
            let is_serving = known.record.phase == UpstreamPhase::Serving && !known.misdirected;
            if is_serving && !self.is_closed(&known.record.availability_zone) {
                services.entry(known.record.service.clone()).or_default().push(&known.record);
            }
        }
        for records in services.values_mut() {
            records.sort_by(|lhs, rhs| lhs.instance.cmp(&rhs.instance));
        }
        services
    }

    /// Returns when the known process of an instance started, in milliseconds of Unix time; 0 if
    /// unknown.
    pub fn started_ms(&self, instance: &InstanceId) -> u64 {
        self.known.get(instance).map_or(0, |it| it.record.started_ms)
    }

    /// Returns the address of an instance; `None` if it is not known.
    pub fn address(&self, instance: &InstanceId) -> Option<UpstreamId> {
        self.known.get(instance).map(|it| it.record.upstream)
    }

    /// Returns the service of an instance; `None` if it is not known.
    pub fn service(&self, instance: &InstanceId) -> Option<&ServiceName> {
        self.known.get(instance).map(|it| &it.record.service)
    }

    /// Returns the number of known upstreams.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn drop_instance(&mut self, instance: &InstanceId) {
        if let Some(known) = self.known.remove(instance) {
            self.dropped.remember(&known.record);
        }
    }

    /// Drops other instances with a missing entry at the address of `record`.
    fn drop_replaced(&mut self, record: &UpstreamRecord) {
        self.known.retain(|instance, known| {
            let same_address = known.record.upstream == record.upstream;
            !(known.missing && same_address && *instance != record.instance)
        });
    }
}

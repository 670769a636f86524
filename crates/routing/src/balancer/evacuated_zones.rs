//! The availability zones that operators have evacuated.

use mux_model::{AvailabilityZone, FastMap, FastSet, TimePoint};

/// The order of the operators to send nothing to the upstreams of an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneEvacuation {
    /// When this node read the entry for the first time.
    pub since: TimePoint,
    /// Revision of the store at which the entry was last written.
    pub revision: u64,
    /// Whether the entry is absent from a store that may lack entries.
    is_missing: bool,
}

/// The evacuated availability zones, by the entries of the store.
///
/// Answers the removal of a whole zone under load: calls, hedges and coverage exclude it at once, as
/// its upstreams are not eligible. An entry that disappears while the store is unreliable is kept until
/// [`Self::drop_missing`], because ending an evacuation too early sends calls into the zone, and ending
/// it seconds late costs only capacity.
#[derive(Debug, Clone, Default)]
pub struct EvacuatedZones {
    zones: FastMap<AvailabilityZone, ZoneEvacuation>,
}

impl EvacuatedZones {
    /// Applies the entry of a zone, written at `revision`; returns whether the zone was not evacuated
    /// before.
    pub fn on_entry(&mut self, now: TimePoint, zone: AvailabilityZone, revision: u64) -> bool {
        let written = ZoneEvacuation { since: now, revision, is_missing: false };
        let Some(known) = self.zones.get_mut(&zone) else {
            self.zones.insert(zone, written);
            return true;
        };
        *known = ZoneEvacuation { since: known.since, ..written };
        false
    }

    /// Handles the removal of the entry of a zone; `is_doubtful` tells whether the store may lack
    /// entries. Returns the evacuation if it has ended.
    pub fn on_removed(
        &mut self,
        zone: &AvailabilityZone,
        is_doubtful: bool,
    ) -> Option<ZoneEvacuation> {
        if is_doubtful {
            self.zones.get_mut(zone)?.is_missing = true;
            return None;
        }
        self.zones.remove(zone)
    }

    /// Handles a complete listing of the store; entries that are not listed count as removed. Returns
    /// the evacuations that have ended.
    pub fn on_listing(
        &mut self,
        listed: &FastSet<AvailabilityZone>,
        is_doubtful: bool,
    ) -> Vec<(AvailabilityZone, ZoneEvacuation)> {
        let absent: Vec<_> =
            self.zones.keys().filter(|it| !listed.contains(*it)).cloned().collect();
        let ended = absent.into_iter().filter_map(|zone| {
            let evacuation = self.on_removed(&zone, is_doubtful)?;
            Some((zone, evacuation))
        });
        ended.collect()
    }

    /// Ends the evacuations whose entries are still missing, and returns them.
    pub fn drop_missing(&mut self) -> Vec<(AvailabilityZone, ZoneEvacuation)> {
        self.zones.extract_if(|_, it| it.is_missing).collect()
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &AvailabilityZone) -> bool {
        self.zones.contains_key(zone)
    }

    /// Returns the revision of the store at which the entry of a zone was last written; 0 if the zone is
    /// not evacuated.
    pub fn revision(&self, zone: &AvailabilityZone) -> u64 {
        self.zones.get(zone).map_or(0, |it| it.revision)
    }

    /// Returns the evacuated zones.
    pub fn iter(&self) -> impl Iterator<Item = (&AvailabilityZone, &ZoneEvacuation)> {
        self.zones.iter()
    }
}

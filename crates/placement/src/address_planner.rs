//! Selection of the node addresses that a caller uses.

use std::{cmp::Ordering, net::SocketAddr};

use mux_model::{AvailabilityZone, FastMap, NodeId};

use crate::{CandidateNode, stable_hash::stable_hash};

/// Ratio of a zone's mean load to the overall mean above which the zone is no longer preferred.
const OVERLOAD_RATIO: f64 = 2.0;
/// Mean load, in queries in flight, up to which a zone never counts as overloaded.
const MIN_OVERLOAD: f64 = 8.0;

/// Selects node addresses for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AddressPlanner {
    /// Maximum number of addresses in an answer.
    pub address_count: usize,
    /// Time for which an answer may be used, before jitter, in milliseconds.
    pub lifetime_ms: u64,
    /// Maximum deviation of the lifetime in either direction, in percent.
    pub jitter_percent: u64,
}

/// A caller's request for addresses.
#[derive(Debug, Clone, Copy)]
pub struct AddressQuery<'a> {
    /// Name of the caller, chosen by itself.
    pub caller: &'a str,
    /// Zones near the caller, the nearest first; all other zones count as equally far.
    pub near_zones: &'a [AvailabilityZone],
    /// Random number that distributes callers of the same name over the nodes.
    pub seed: u64,
}

/// The answer to an [`AddressQuery`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressAnswer {
    /// The addresses, the preferred one first.
    pub addresses: Vec<AddressEntry>,
    /// Time for which the caller may use the answer, in milliseconds.
    pub lifetime_ms: u64,
}

/// One address of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressEntry {
    /// Name of the node.
    pub node: NodeId,
    /// Availability zone of the node.
    pub availability_zone: AvailabilityZone,
    /// Address at which the node accepts requests of callers.
    pub address: SocketAddr,
}

impl Default for AddressPlanner {
    fn default() -> Self {
        Self { address_count: 3, lifetime_ms: 10_000, jitter_percent: 20 }
    }
}

impl AddressPlanner {
    /// Returns the longest lifetime that an answer can have, in milliseconds.
    pub fn max_lifetime_ms(&self) -> u64 {
        self.lifetime_ms * (100 + self.jitter_percent) / 100
    }

    /// Selects addresses for a caller among the available candidates.
    ///
    /// The first address is in the nearest zone that is not overloaded compared with the others,
    /// the second in another zone, if there is one; the rest follow by nearness. The order of
    /// equally near nodes is random, with less weight for loaded nodes.
    pub fn plan(&self, query: &AddressQuery<'_>, candidates: &[CandidateNode]) -> AddressAnswer {
        let available: Vec<_> = candidates.iter().filter(|it| it.available).collect();
        let loads = ZoneLoads::of(&available);
        let mut scored: Vec<_> =
            available.iter().map(|it| score_candidate(query, it, &loads)).collect();
        scored.sort_by(ScoredCandidate::order);
        let chosen = self.choose(&scored);
        AddressAnswer {
            addresses: chosen.iter().map(|it| address_entry(it.candidate)).collect(),
            lifetime_ms: self.jittered_lifetime(query),
        }
    }

    /// Returns the best candidates; the second one is the best from another zone.
    fn choose<'a>(&self, scored: &[ScoredCandidate<'a>]) -> Vec<ScoredCandidate<'a>> {
        let Some(first) = scored.first() else {
            return Vec::new();
        };
        let zone = &first.candidate.availability_zone;
        let other_zone = scored.iter().position(|it| it.candidate.availability_zone != *zone);
        let mut chosen = vec![*first];
        chosen.extend(other_zone.map(|it| scored[it]));
        let rest = scored.iter().enumerate().skip(1).filter(|(idx, _)| Some(*idx) != other_zone);
        chosen.extend(rest.map(|(_, it)| *it));
        chosen.truncate(self.address_count);
        chosen
    }

    fn jittered_lifetime(&self, query: &AddressQuery<'_>) -> u64 {
        let hash = stable_hash(&[query.caller.as_bytes(), &query.seed.to_le_bytes()]);
        let percent = 100 - self.jitter_percent + hash % (2 * self.jitter_percent + 1);
        self.lifetime_ms * percent / 100
    }
}

/// A candidate with its sort key in the caller's preference.
#[derive(Debug, Clone, Copy)]
struct ScoredCandidate<'a> {
    candidate: &'a CandidateNode,
    /// Position of the zone in the caller's preference; the lowest comes first.
    distance: usize,
    /// Exponentially distributed with the weight of the node as its rate, so that among equally
    /// near nodes the probability to be first is the node's share of their weight.
    score: f64,
}

impl ScoredCandidate<'_> {
    fn order(&self, other: &Self) -> Ordering {
        self.distance.cmp(&other.distance).then(self.score.total_cmp(&other.score))
    }
}

/// Mean loads of all candidates and of each zone.
struct ZoneLoads<'a> {
    overall: MeanLoad,
    zones: FastMap<&'a AvailabilityZone, MeanLoad>,
}

#[derive(Debug, Clone, Copy, Default)]
struct MeanLoad {
    total: u32,
    count: u32,
}

impl<'a> ZoneLoads<'a> {
    fn of(candidates: &[&'a CandidateNode]) -> Self {
        let mut loads = Self { overall: MeanLoad::default(), zones: FastMap::default() };
        for candidate in candidates {
            loads.overall.add(candidate.load);
            loads.zones.entry(&candidate.availability_zone).or_default().add(candidate.load);
        }
        loads
    }

    fn is_overloaded(&self, zone: &AvailabilityZone) -> bool {
        let limit = MIN_OVERLOAD.max(self.overall.mean() * OVERLOAD_RATIO);
        self.zones.get(zone).is_some_and(|it| limit < it.mean())
    }
}

impl MeanLoad {
    fn add(&mut self, load: u16) {
        self.total += u32::from(load);
        self.count += 1;
    }

    fn mean(self) -> f64 {
        f64::from(self.total) / f64::from(self.count.max(1))
    }
}

fn score_candidate<'a>(
    query: &AddressQuery<'_>,
    candidate: &'a CandidateNode,
    loads: &ZoneLoads<'_>,
) -> ScoredCandidate<'a> {
    let node = candidate.node.as_str().as_bytes();
    let hash = stable_hash(&[query.caller.as_bytes(), &query.seed.to_le_bytes(), node]);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    let mean = loads.overall.mean() + 1.0;
    let weight = mean / (f64::from(candidate.load) + mean);
    let distance = distance(query, &candidate.availability_zone, loads);
    ScoredCandidate { candidate, distance, score: -uniform.ln() / weight }
}

/// Returns the position of `zone` among the near zones; a zone that is not listed or is overloaded
/// comes after all of them.
fn distance(query: &AddressQuery<'_>, zone: &AvailabilityZone, loads: &ZoneLoads<'_>) -> usize {
    let far = query.near_zones.len();
    if loads.is_overloaded(zone) {
        return far;
    }
    query.near_zones.iter().position(|it| it == zone).unwrap_or(far)
}

fn address_entry(candidate: &CandidateNode) -> AddressEntry {
    AddressEntry {
        node: candidate.node.clone(),
        availability_zone: candidate.availability_zone.clone(),
        address: candidate.caller_address,
    }
}

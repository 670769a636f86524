//! Validation of service definitions.

use std::ops::RangeInclusive;

use mux_model::{FastSet, UpstreamId};

use crate::{
    BadValue, DefinitionError, HedgeSettings, ServiceDefinition, ServiceLimits, ShardMapSource,
};

const NAME_LENGTH: RangeInclusive<usize> = 1..=63;
const DEADLINE_MS: RangeInclusive<u64> = 1..=600_000;
const UPSTREAM_COUNT: RangeInclusive<usize> = 1..=4_096;
const SLOTS: RangeInclusive<u32> = 1..=10_000;
const CONNECTIONS: RangeInclusive<u32> = 1..=100_000;
const QUERIES_IN_FLIGHT: RangeInclusive<u32> = 1..=1_000_000;

impl ServiceDefinition {
    /// Parses a definition from JSON and validates it.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is malformed or [`check`](Self::check) fails.
    pub fn from_json(text: &str) -> Result<Self, DefinitionError> {
        let definition: Self = serde_json::from_str(text)
            .map_err(|error| DefinitionError::Malformed(error.to_string()))?;
        definition.check()?;
        Ok(definition)
    }

    /// Returns the definition as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Validates every value.
    ///
    /// # Errors
    ///
    /// Returns an error that lists each invalid value with the allowed values.
    pub fn check(&self) -> Result<(), DefinitionError> {
        let mut checker = ValueChecker::default();
        checker.name("name", self.name.as_str());
        checker.upstreams(self);
        checker.times(self);
        checker.coverage(self);
        checker.limits(&self.limits);
        checker.hedging(&self.hedging);
        checker.shard_map(self);
        checker.finish()
    }
}

/// Validates values and collects the invalid ones.
#[derive(Debug, Default)]
pub(crate) struct ValueChecker {
    bad: Vec<BadValue>,
}

impl ValueChecker {
    /// Returns the collected invalid values as an error, if there are any.
    pub(crate) fn finish(self) -> Result<(), DefinitionError> {
        if self.bad.is_empty() { Ok(()) } else { Err(DefinitionError::BadValues(self.bad)) }
    }

    /// Records `value` as invalid unless `valid` is set.
    pub(crate) fn expect(&mut self, valid: bool, key: &str, value: impl ToString, allowed: &str) {
        if valid {
            return;
        }
        let value = value.to_string();
        self.bad.push(BadValue { key: key.to_owned(), value, allowed: allowed.to_owned() });
    }

    /// Checks that a name consists of lower-case letters, digits and hyphens and has 1 to 63
    /// characters.
    pub(crate) fn name(&mut self, key: &str, name: &str) {
        let allowed = |it: u8| it.is_ascii_lowercase() || it.is_ascii_digit() || it == b'-';
        let valid = NAME_LENGTH.contains(&name.len()) && name.bytes().all(allowed);
        self.expect(valid, key, format!("{name:?}"), "1 to 63 of a-z, 0-9 and -");
    }

    fn range<T: PartialOrd + ToString>(&mut self, key: &str, value: T, range: &RangeInclusive<T>) {
        let allowed = format!("{} to {}", range.start().to_string(), range.end().to_string());
        self.expect(range.contains(&value), key, value, &allowed);
    }

    fn upstreams(&mut self, definition: &ServiceDefinition) {
        self.range("upstreams (count)", definition.upstreams.len(), &UPSTREAM_COUNT);
        let mut seen = FastSet::default();
        for (idx, upstream) in definition.upstreams.iter().enumerate() {
            let address = upstream.address;
            let key = format!("upstreams[{idx}].address");
            self.expect(seen.insert(address), &key, address, "each address once");
            self.expect(address.0.port() != 0, &key, address, "a port above 0");
            self.expect(!address.0.ip().is_unspecified(), &key, address, "a specific IP number");
            let zone = upstream.availability_zone.as_str();
            self.name(&format!("upstreams[{idx}].availability_zone"), zone);
        }
    }

    fn times(&mut self, definition: &ServiceDefinition) {
        let deadline_ms = definition.deadline_ms;
        self.range("deadline_ms", deadline_ms, &DEADLINE_MS);
        self.range("latency_target_ms", definition.latency_target_ms, &(1..=deadline_ms));
    }

    fn coverage(&mut self, definition: &ServiceDefinition) {
        let target = definition.coverage_target;
        self.range("coverage_target", target, &(0.0..=1.0));
        self.range("coverage_minimum", definition.coverage_minimum, &(0.0..=target));
    }

    fn limits(&mut self, limits: &ServiceLimits) {
        let connections = limits.connections_per_upstream;
        let reserve_end = connections.saturating_sub(1);
        self.range("limits.slots_per_upstream", limits.slots_per_upstream, &SLOTS);
        self.range("limits.connections_per_upstream", connections, &CONNECTIONS);
        self.range("limits.connection_reserve", limits.connection_reserve, &(0..=reserve_end));
        self.range("limits.queries_in_flight", limits.queries_in_flight, &QUERIES_IN_FLIGHT);
    }

    fn hedging(&mut self, hedging: &HedgeSettings) {
        let quantile = hedging.quantile;
        let valid = 0.0 < quantile && quantile < 1.0;
        self.expect(valid, "hedging.quantile", quantile, "above 0 and below 1");
        self.range("hedging.fixed_delay_ms", hedging.fixed_delay_ms, &(0..=*DEADLINE_MS.end()));
        self.range("hedging.budget_percent", hedging.budget_percent, &(0.0..=100.0));
    }

    fn shard_map(&mut self, definition: &ServiceDefinition) {
        let ShardMapSource::Fixed { shards, .. } = &definition.shard_map else {
            return;
        };
        self.expect(!shards.is_empty(), "shard_map.shards", "empty", "at least one shard");
        let listed: FastSet<_> = definition.upstreams.iter().map(|it| it.address).collect();
        for (idx, replicas) in shards.iter().enumerate() {
            self.replicas(&format!("shard_map.shards[{idx}]"), replicas, &listed);
        }
    }

    fn replicas(&mut self, key: &str, replicas: &[UpstreamId], listed: &FastSet<UpstreamId>) {
        self.expect(!replicas.is_empty(), key, "empty", "at least one upstream");
        let mut seen = FastSet::default();
        for replica in replicas {
            self.expect(listed.contains(replica), key, replica, "addresses listed in upstreams");
            self.expect(seen.insert(replica), key, replica, "each address once");
        }
    }
}

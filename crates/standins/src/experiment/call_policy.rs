//! Hedging and concurrency policies under comparison.

use std::net::SocketAddr;

use mux_config::{
    ConcurrencyMode, HedgeMode, HedgeSettings, ServiceDefinition, ServiceLimits, ShardMapSource,
    UpstreamEntry,
};
use mux_model::{AvailabilityZone, ServiceName, UpstreamId};

use super::shape::LeafGroupSize;

/// Availability zone of all nodes and upstreams in the experiment.
pub(crate) const AVAILABILITY_ZONE: &str = "muc-a";

const FIXED_HEDGE_DELAY_MS: u64 = 20;
const LATENCY_TARGET_MS: u64 = 500;
const DEADLINE_MS: u64 = 1_000;

/// Hedging and concurrency limit of a service under comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallPolicy {
    /// No hedging and no limit on calls in flight.
    Plain,
    /// Hedging after a fixed delay, without a budget and without a limit on calls in flight.
    FixedHedge,
    /// Default hedging and adaptive concurrency limit of a service definition.
    ServiceDefaults,
}

impl CallPolicy {
    /// All policies, in the order in which they are measured.
    pub(crate) const ALL: [Self; 3] = [Self::Plain, Self::FixedHedge, Self::ServiceDefaults];

    /// Returns the name in the printed tables.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::FixedHedge => "fixed-hedge",
            Self::ServiceDefaults => "ours",
        }
    }

    /// Returns the definition of a service with this policy.
    pub(crate) fn definition(
        self,
        name: ServiceName,
        size: LeafGroupSize,
        upstreams: &[SocketAddr],
    ) -> ServiceDefinition {
        let default_hedging = HedgeSettings::default();
        let (concurrency, hedging) = match self {
            Self::Plain => (
                ConcurrencyMode::Unlimited,
                HedgeSettings { mode: HedgeMode::Off, ..default_hedging },
            ),
            Self::FixedHedge => {
                let fixed_delay_ms = FIXED_HEDGE_DELAY_MS;
                let mode = HedgeMode::Fixed;
                (
                    ConcurrencyMode::Unlimited,
                    HedgeSettings { mode, fixed_delay_ms, ..default_hedging },
                )
            }
            Self::ServiceDefaults => (ConcurrencyMode::Adaptive, default_hedging),
        };
        let limits = ServiceLimits {
            slots_per_upstream: size.slots,
            connections_per_upstream: size.connections,
            concurrency,
            ..ServiceLimits::default()
        };
        ServiceDefinition {
            name,
            upstreams: upstreams.iter().map(|it| upstream_entry(*it)).collect(),
            shard_map: ShardMapSource::Learned,
            idempotent: true,
            latency_target_ms: LATENCY_TARGET_MS,
            deadline_ms: DEADLINE_MS,
            coverage_target: 1.0,
            coverage_minimum: 0.5,
            limits,
            hedging,
        }
    }
}

fn upstream_entry(address: SocketAddr) -> UpstreamEntry {
    UpstreamEntry {
        address: UpstreamId(address),
        availability_zone: AvailabilityZone::from(AVAILABILITY_ZONE),
    }
}

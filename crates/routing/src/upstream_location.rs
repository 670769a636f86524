//! Location of an upstream of a service.

use mux_model::{AvailabilityZone, UpstreamId};

/// An upstream and its availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamLocation {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Availability zone of the upstream.
    pub availability_zone: AvailabilityZone,
}

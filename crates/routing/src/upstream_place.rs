//! Where one upstream of a service is.

use mux_model::{AvailabilityZone, UpstreamId};

/// An upstream and the availability zone that it is in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamLocation {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Availability zone of the upstream.
    pub availability_zone: AvailabilityZone,
}

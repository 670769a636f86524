//! How many nodes hold connections to the upstreams of a service.

/// The connection limits that bound the number of home nodes of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeLimits {
    /// Connections that one upstream accepts from all nodes together.
    pub connections_per_upstream: u32,
    /// Connections of each upstream that the nodes leave unused together.
    pub connection_reserve: u32,
    /// Connections to each upstream that a home node has at least.
    pub connections_per_home: u32,
}

impl HomeLimits {
    /// Connections to each upstream that a home node has at least, unless set otherwise.
    pub const CONNECTIONS_PER_HOME: u32 = 2;

    /// Creates the limits of a service.
    pub fn new(connections_per_upstream: u32, connection_reserve: u32) -> Self {
        let connections_per_home = Self::CONNECTIONS_PER_HOME;
        Self { connections_per_upstream, connection_reserve, connections_per_home }
    }

    /// Returns the number of home nodes among `live_nodes`; 0 only if there are none.
    pub fn home_count(&self, live_nodes: usize) -> usize {
        let most = self.usable_connections() / self.connections_per_home.max(1);
        let most = usize::try_from(most).unwrap_or(usize::MAX).max(1);
        most.min(live_nodes)
    }

    /// Returns how many connections to each upstream one of `homes` home nodes may open; at
    /// least 1.
    pub fn connection_share(&self, homes: usize) -> u32 {
        let homes = u32::try_from(homes).unwrap_or(u32::MAX).max(1);
        (self.usable_connections() / homes).max(1)
    }

    fn usable_connections(&self) -> u32 {
        self.connections_per_upstream.saturating_sub(self.connection_reserve)
    }
}

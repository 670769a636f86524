//! The number of home nodes of a service, which hold connections to its upstreams.

/// The connection limits that bound the number of home nodes of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeLimits {
    /// Connections that one upstream accepts from all nodes together.
    pub connections_per_upstream: u32,
    /// Connections of each upstream that all nodes together leave unused.
    pub connection_reserve: u32,
    /// Connections to each upstream that a home node should get at least; bounds the number of home
    /// nodes.
    pub connections_per_home: u32,
}

impl HomeLimits {
    /// Default of `connections_per_home`.
    pub const CONNECTIONS_PER_HOME: u32 = 2;

    /// Creates the limits of a service.
    pub fn new(connections_per_upstream: u32, connection_reserve: u32) -> Self {
        let connections_per_home = Self::CONNECTIONS_PER_HOME;
        Self { connections_per_upstream, connection_reserve, connections_per_home }
    }

    /// Returns the number of home nodes among `live_nodes`; 0 only if there are none.
    pub fn home_count(&self, live_nodes: usize) -> usize {
        let max_homes = self.usable_connections() / self.connections_per_home.max(1);
        let max_homes = usize::try_from(max_homes).unwrap_or(usize::MAX).max(1);
        max_homes.min(live_nodes)
    }

    /// Returns the number of connections that one of `homes` home nodes may open to each upstream;
    /// at least 1.
    pub fn connection_share(&self, homes: usize) -> u32 {
        let homes = u32::try_from(homes).unwrap_or(u32::MAX).max(1);
        (self.usable_connections() / homes).max(1)
    }

    fn usable_connections(&self) -> u32 {
        self.connections_per_upstream.saturating_sub(self.connection_reserve)
    }
}

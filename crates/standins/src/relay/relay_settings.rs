//! Settings of the relays.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Settings file of a process that runs one or more relays.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RelayFile {
    /// The relays.
    pub(crate) relays: Vec<RelaySettings>,
}

/// Settings of one relay.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RelaySettings {
    /// Address that receives connections or datagrams.
    pub(crate) listen: SocketAddr,
    /// Address to which they are forwarded.
    pub(crate) target: SocketAddr,
    /// Protocol.
    #[serde(default)]
    pub(crate) protocol: RelayProtocol,
    /// Address of the HTTP control server.
    pub(crate) control_listen: SocketAddr,
}

/// Protocol of a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RelayProtocol {
    /// TCP connections.
    #[default]
    Tcp,
    /// UDP datagrams.
    Udp,
}

/// Body of `PUT /v1/control`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RelayControl {
    /// Treatment of received bytes.
    pub(crate) mode: RelayMode,
    /// Delay added in each direction, in milliseconds.
    #[serde(default)]
    pub(crate) delay_ms: u64,
}

/// Treatment of received bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RelayMode {
    /// Forwards bytes, except on connections that were open when a silent mode was set.
    Pass,
    /// Resets open and new connections; drops datagrams.
    Cut,
    /// Forwards nothing on the connections open now; forwards bytes on new ones; drops datagrams.
    SilentOpen,
    /// Forwards nothing on any connection; drops datagrams.
    SilentAll,
}

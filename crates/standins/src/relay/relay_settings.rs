//! Settings of the relays.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Settings of one process that runs some relays.
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
    /// Address that accepts connections or datagrams.
    pub(crate) listen: SocketAddr,
    /// Address to which they go on.
    pub(crate) target: SocketAddr,
    /// Protocol.
    #[serde(default)]
    pub(crate) protocol: RelayProtocol,
    /// Address for control (HTTP).
    pub(crate) control_listen: SocketAddr,
}

/// Protocol of a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RelayProtocol {
    /// Connections.
    #[default]
    Tcp,
    /// Datagrams.
    Udp,
}

/// Body of `PUT /v1/control`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RelayControl {
    /// What happens to the bytes.
    pub(crate) mode: RelayMode,
    /// Time by which each direction is late, in milliseconds.
    #[serde(default)]
    pub(crate) delay_ms: u64,
}

/// What a relay does with the bytes that it receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RelayMode {
    /// Passes them on; connections that were silenced stay silent.
    Pass,
    /// Resets open connections and refuses new ones; drops datagrams.
    Cut,
    /// Passes nothing more on the connections open now; new ones work. Drops datagrams.
    SilentOpen,
    /// Passes nothing on any connection; drops datagrams.
    SilentAll,
}

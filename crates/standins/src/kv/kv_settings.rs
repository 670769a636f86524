//! Settings of the key-value test double.

use std::{fs, io, net::SocketAddr, path::Path};

use mux_store::VmEntry;
use serde::Deserialize;

use super::FaultPlan;

/// Settings of the key-value test double.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct KvSettings {
    /// Address on which calls are accepted.
    pub(crate) listen: SocketAddr,
    /// Initial faults.
    #[serde(default)]
    pub(crate) faults: FaultPlan,
    /// Initial VM list.
    #[serde(default)]
    pub(crate) vms: Vec<VmEntry>,
}

impl KvSettings {
    /// Reads the settings from a JSON file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or is malformed.
    pub(crate) fn load(path: &Path) -> io::Result<Self> {
        let text = fs::read_to_string(path)?;
        serde_json::from_str(&text).map_err(io::Error::other)
    }
}

//! Checked settings of a node.

mod errors;
mod node_settings;

pub use errors::SettingsError;
pub use node_settings::{
    CallerLimits, ListenAddresses, NodeSettings, NodeTiming, PlatformSettings,
};

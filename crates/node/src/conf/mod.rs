//! Settings of a node and their validation.

mod errors;
mod node_settings;

pub use errors::SettingsError;
pub use node_settings::{
    CallerLimits, ListenAddresses, NodeSettings, NodeTiming, PlatformSettings,
};

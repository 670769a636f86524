//! Watches the configuration at the key-value service.

use std::{sync::Arc, time::Duration};

use mux_adapter::KvClient;
use mux_config::{ConfigLoader, ConfigState, LoadError, LoadedConfig, UpdateOutcome};
use mux_logs::LogThrottle;
use mux_store::ValueVersion;
use rand::RngExt;
use slog::{info, warn};

use crate::Node;

const RETRY_MIN_MS: u64 = 300;
const RETRY_MAX_MS: u64 = 1_000;
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(500);
const LOG_PERIOD: Duration = Duration::from_secs(30);
const LOG_LINES: u32 = 2;

/// Watches the configuration for as long as the node runs.
///
/// Only the watcher nodes keep a watch open. Any other node reads the store once when it starts,
/// and receives later updates from its peers.
pub(crate) async fn watch_config(node: Arc<Node>) {
    let loader = ConfigLoader::new(node.store().clone());
    let throttle = LogThrottle::new(LOG_LINES, LOG_PERIOD);
    // Version of the store's value that was read last; `None` makes the next read a load instead of
    // a watch.
    let mut loaded_version = None;
    loop {
        if loaded_version.is_some() && !node.watches_store() {
            loaded_version = None;
            node.timer().sleep(IDLE_CHECK_PERIOD).await;
            wait_until_watcher(&node).await;
            continue;
        }
        match read_config(&node, &loader, loaded_version).await {
            Ok(version) => loaded_version = Some(version),
            Err(error) => {
                loaded_version = None;
                log_failure(&node, &throttle, &error);
                let millis = rand::rng().random_range(RETRY_MIN_MS..RETRY_MAX_MS);
                node.timer().sleep(Duration::from_millis(millis)).await;
            }
        }
    }
}

/// Waits until this node becomes a watcher.
async fn wait_until_watcher(node: &Node) {
    while !node.watches_store() {
        node.timer().sleep(IDLE_CHECK_PERIOD).await;
    }
    info!(node.logger(), "config: node became a watcher of the key-value service");
}

async fn read_config(
    node: &Node,
    loader: &ConfigLoader<KvClient>,
    loaded_version: Option<ValueVersion>,
) -> Result<ValueVersion, LoadError> {
    let current = node.config();
    let limit = node.settings().timing.watch_limit();
    let sent_at = node.timer().now();
    let Some(after) = loaded_version else {
        let loaded = loader.load(&current).await?;
        node.on_store_contact(sent_at, loaded.revision);
        return apply_loaded(node, loader, loaded).await;
    };
    match loader.watch(&current, after, limit).await? {
        Some(loaded) => {
            // The contact counts from the request: the reply may have waited in a socket buffer
            // while this process was paused.
            node.on_store_contact(sent_at, loaded.revision);
            apply_loaded(node, loader, loaded).await
        }
        None => {
            node.on_store_contact(sent_at, current.revision());
            Ok(after)
        }
    }
}

async fn apply_loaded(
    node: &Node,
    loader: &ConfigLoader<KvClient>,
    loaded: LoadedConfig,
) -> Result<ValueVersion, LoadError> {
    let Some(update) = &loaded.update else {
        return Ok(loaded.version);
    };
    if node.apply_config_update(update) == UpdateOutcome::FullUpdateRequired {
        let reloaded = loader.load(&ConfigState::default()).await?;
        if let Some(update) = &reloaded.update {
            node.apply_config_update(update);
        }
        return Ok(reloaded.version);
    }
    Ok(loaded.version)
}

fn log_failure(node: &Node, throttle: &LogThrottle, error: &LoadError) {
    if let Some(suppressed) = throttle.allow(node.timer().now()) {
        warn!(node.logger(), "config: cannot read the key-value service: {}", error;
            "suppressed" => suppressed);
    }
}

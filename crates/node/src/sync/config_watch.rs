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
const IDLE_CHECK: Duration = Duration::from_millis(500);
const LOG_PERIOD: Duration = Duration::from_secs(30);
const LOG_LINES: u32 = 2;

/// Watches the configuration for as long as the node lives.
///
/// Only the watchers among the nodes keep a watch waiting; any other node reads the store once,
/// when it starts, and is told by its peers from then on.
pub(crate) async fn watch_config(node: Arc<Node>) {
    let loader = ConfigLoader::new(node.store().clone());
    let throttle = LogThrottle::new(LOG_LINES, LOG_PERIOD);
    let mut version = None;
    loop {
        if version.is_some() && !node.watches_store() {
            version = None;
            node.timer().sleep(IDLE_CHECK).await;
            wait_for_turn(&node).await;
            continue;
        }
        match read_config(&node, &loader, version).await {
            Ok(seen) => version = Some(seen),
            Err(error) => {
                version = None;
                log_failure(&node, &throttle, &error);
                let millis = rand::rng().random_range(RETRY_MIN_MS..RETRY_MAX_MS);
                node.timer().sleep(Duration::from_millis(millis)).await;
            }
        }
    }
}

/// Waits until this node becomes a watcher.
async fn wait_for_turn(node: &Node) {
    while !node.watches_store() {
        node.timer().sleep(IDLE_CHECK).await;
    }
    info!(node.logger(), "config: watches the key-value service");
}

async fn read_config(
    node: &Node,
    loader: &ConfigLoader<KvClient>,
    version: Option<ValueVersion>,
) -> Result<ValueVersion, LoadError> {
    let known = node.config();
    let limit = node.settings().timing.watch_limit();
    let sent_at = node.timer().now();
    let Some(after) = version else {
        let loaded = loader.load(&known).await?;
        node.on_store_contact(sent_at, loaded.revision);
        return take_loaded(node, loader, loaded).await;
    };
    match loader.watch(&known, after, limit).await? {
        Some(loaded) => {
            // The reply may have waited in a socket while this process was paused.
            node.on_store_contact(sent_at, loaded.revision);
            take_loaded(node, loader, loaded).await
        }
        None => {
            node.on_store_contact(sent_at, known.revision());
            Ok(after)
        }
    }
}

async fn take_loaded(
    node: &Node,
    loader: &ConfigLoader<KvClient>,
    loaded: LoadedConfig,
) -> Result<ValueVersion, LoadError> {
    let Some(update) = &loaded.update else {
        return Ok(loaded.version);
    };
    if node.offer_config(update) == UpdateOutcome::FullUpdateRequired {
        let whole = loader.load(&ConfigState::default()).await?;
        if let Some(update) = &whole.update {
            node.offer_config(update);
        }
        return Ok(whole.version);
    }
    Ok(loaded.version)
}

fn log_failure(node: &Node, throttle: &LogThrottle, error: &LoadError) {
    if let Some(suppressed) = throttle.allow(node.timer().now()) {
        warn!(node.logger(), "config: key-value service not readable: {}", error;
            "suppressed" => suppressed);
    }
}

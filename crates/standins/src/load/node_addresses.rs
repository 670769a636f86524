//! Addresses of the nodes under load.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use mux_timer::TimerService;
use serde::Deserialize;

use super::{caller_client::CallerClient, load_settings::LoadSettings};

const RETRY_PERIOD: Duration = Duration::from_millis(100);

/// The node addresses currently in use.
#[derive(Debug, Clone)]
pub(crate) struct NodeAddresses {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
}

/// Body of an address reply.
#[derive(Debug, Deserialize)]
struct AddressReply {
    addresses: Vec<AddressEntry>,
    lifetime_ms: u64,
}

#[derive(Debug, Deserialize)]
struct AddressEntry {
    address: SocketAddr,
}

impl NodeAddresses {
    /// Creates the list from the settings.
    pub(crate) fn new(settings: &LoadSettings) -> Self {
        Self { addresses: Arc::new(Mutex::new(settings.nodes.clone())) }
    }

    /// Returns the address that the random number `number` selects.
    pub(crate) fn pick(&self, number: u64) -> Option<SocketAddr> {
        let addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        let count = u64::try_from(addresses.len()).ok().filter(|it| 0 < *it)?;
        usize::try_from(number % count).ok().and_then(|idx| addresses.get(idx).copied())
    }

    /// Fetches new addresses whenever their lifetime ends; runs until its task is aborted.
    pub(crate) async fn refresh(
        self,
        settings: LoadSettings,
        client: CallerClient,
        timer: TimerService,
    ) {
        let mut attempt = 0;
        loop {
            let node = self.pick(attempt);
            attempt += 1;
            let lifetime = match node {
                Some(node) => self.fetch(&settings, &client, node).await,
                None => None,
            };
            timer.sleep(lifetime.unwrap_or(RETRY_PERIOD)).await;
        }
    }

    async fn fetch(
        &self,
        settings: &LoadSettings,
        client: &CallerClient,
        node: SocketAddr,
    ) -> Option<Duration> {
        let zone = settings.availability_zone.as_ref().map_or("", |it| it.as_str());
        let (service, caller) = (&settings.service, &settings.caller);
        let path = format!("/v1/services/{service}/addresses?zone={zone}&caller={caller}");
        let reply: AddressReply = client.get(node, &path).await?;
        if reply.addresses.is_empty() {
            return None;
        }
        let addresses = reply.addresses.iter().map(|it| it.address).collect();
        *self.addresses.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
        Some(Duration::from_millis(reply.lifetime_ms))
    }
}

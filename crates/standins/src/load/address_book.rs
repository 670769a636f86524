//! Addresses of nodes that the load goes to.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use mux_timer::TimerService;
use serde::Deserialize;

use super::{caller_client::CallerClient, load_settings::LoadSettings};

const RETRY_PERIOD: Duration = Duration::from_millis(100);

/// The addresses in use now.
#[derive(Debug, Clone)]
pub(crate) struct AddressBook {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
}

/// Reply to the question for addresses.
#[derive(Debug, Deserialize)]
struct AddressReply {
    addresses: Vec<AddressEntry>,
    lifetime_ms: u64,
}

#[derive(Debug, Deserialize)]
struct AddressEntry {
    address: SocketAddr,
}

impl AddressBook {
    /// Starts with the addresses in the settings.
    pub(crate) fn new(settings: &LoadSettings) -> Self {
        Self { addresses: Arc::new(Mutex::new(settings.nodes.clone())) }
    }

    /// Returns the address for the query with this random number.
    pub(crate) fn pick(&self, number: u64) -> Option<SocketAddr> {
        let addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        let count = u64::try_from(addresses.len()).ok().filter(|it| 0 < *it)?;
        usize::try_from(number % count).ok().and_then(|idx| addresses.get(idx).copied())
    }

    /// Asks again and again which addresses to use; ends only with its task.
    pub(crate) async fn refresh(
        self,
        settings: LoadSettings,
        client: CallerClient,
        timer: TimerService,
    ) {
        let mut turn = 0;
        loop {
            let node = self.pick(turn);
            turn += 1;
            let lifetime = match node {
                Some(node) => self.ask(&settings, &client, node).await,
                None => None,
            };
            timer.sleep(lifetime.unwrap_or(RETRY_PERIOD)).await;
        }
    }

    async fn ask(
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

//! Open-loop load generator.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use hyper::Method;
use mux_model::TimePoint;
use mux_timer::TimerService;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use tokio::task::JoinSet;

use super::{
    caller_client::CallerClient,
    load_report::LoadStats,
    load_settings::{ArrivalProcess, LoadSettings},
    node_addresses::NodeAddresses,
    query_reply::QueryReply,
};

/// Time after its deadline at which a query counts as unanswered.
const REPLY_GRACE: Duration = Duration::from_secs(2);

/// Open-loop load generator: sends queries at their intended times, however many are still in
/// flight, and measures latency from the intended time to avoid coordinated omission.
#[derive(Clone)]
pub(crate) struct LoadGenerator {
    settings: Arc<LoadSettings>,
    timer: TimerService,
    client: CallerClient,
    node_addresses: NodeAddresses,
    stats: Arc<Mutex<LoadStats>>,
}

impl LoadGenerator {
    pub(crate) fn new(settings: LoadSettings, timer: TimerService) -> Self {
        let window = Duration::from_millis(settings.duration_ms);
        Self {
            node_addresses: NodeAddresses::new(&settings),
            client: CallerClient::new(),
            stats: Arc::new(Mutex::new(LoadStats::new(window))),
            settings: Arc::new(settings),
            timer,
        }
    }

    /// Sends all queries and waits for the last reply or its timeout.
    pub(crate) async fn run(self) -> LoadStats {
        let mut refreshes = JoinSet::new();
        if self.settings.ask {
            let (settings, client) = ((*self.settings).clone(), self.client.clone());
            refreshes.spawn(self.node_addresses.clone().refresh(
                settings,
                client,
                self.timer.clone(),
            ));
        }
        let mut queries = self.send_all().await;
        while queries.join_next().await.is_some() {}
        drop(refreshes);
        self.stats.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn send_all(&self) -> JoinSet<()> {
        let mut rng = SmallRng::seed_from_u64(self.settings.seed);
        let mut queries = JoinSet::new();
        let start = self.timer.now();
        let measured_from = start + Duration::from_millis(self.settings.warmup_ms);
        let end = measured_from + Duration::from_millis(self.settings.duration_ms);
        let mut intended = start + self.sample_gap(&mut rng);
        let mut number = 0;
        while intended < end {
            self.timer.sleep_until(intended).await;
            let query = LoadQuery {
                number,
                node_choice: rng.random(),
                intended,
                measured: measured_from <= intended,
            };
            queries.spawn(self.clone().send(query));
            while queries.try_join_next().is_some() {}
            number += 1;
            intended = intended + self.sample_gap(&mut rng);
        }
        queries
    }

    fn sample_gap(&self, rng: &mut SmallRng) -> Duration {
        let mean = 1.0 / self.settings.rate;
        let factor = match self.settings.arrivals {
            ArrivalProcess::Poisson => -(1.0 - rng.random::<f64>()).ln(),
            ArrivalProcess::Fixed => 1.0,
        };
        Duration::from_secs_f64(mean * factor)
    }

    async fn send(self, query: LoadQuery) {
        let seed = self.settings.seed;
        let key = format!("{seed}-{}", query.number);
        let content = json!({ "key": key, "payload": self.settings.payload });
        let limit = Duration::from_millis(self.settings.deadline_ms) + REPLY_GRACE;
        let reply = self.timer.timeout(limit, self.request(query.node_choice, &content)).await;
        let reply = reply.ok().flatten();
        if query.measured {
            let latency = self.timer.now().since(query.intended);
            let mut stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
            stats.record(latency, &content, reply.as_ref());
        }
    }

    async fn request(&self, node_choice: u64, content: &Value) -> Option<QueryReply> {
        let node = self.node_addresses.pick(node_choice)?;
        let path = format!("/v1/services/{}/query", self.settings.service);
        let body = json!({ "query": content, "deadline_ms": self.settings.deadline_ms });
        let body = Bytes::from(serde_json::to_vec(&body).ok()?);
        self.client.send(Method::POST, node, &path, body).await
    }
}

/// One query to send.
#[derive(Debug, Clone, Copy)]
struct LoadQuery {
    number: u64,
    node_choice: u64,
    intended: TimePoint,
    measured: bool,
}

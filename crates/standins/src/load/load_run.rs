//! One run of open-loop load.

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
    address_book::AddressBook,
    caller_client::CallerClient,
    load_report::LoadTally,
    load_settings::{ArrivalProcess, LoadSettings},
    query_reply::QueryReply,
};

/// Time beyond its deadline after which a query counts as not answered.
const REPLY_GRACE: Duration = Duration::from_secs(2);

/// One run of open-loop load: queries are sent at their intended times, however many are still
/// without an answer, and are timed from then.
#[derive(Clone)]
pub(crate) struct LoadRun {
    settings: Arc<LoadSettings>,
    timer: TimerService,
    client: CallerClient,
    book: AddressBook,
    tally: Arc<Mutex<LoadTally>>,
}

impl LoadRun {
    pub(crate) fn new(settings: LoadSettings, timer: TimerService) -> Self {
        let window = Duration::from_millis(settings.duration_ms);
        Self {
            book: AddressBook::new(&settings),
            client: CallerClient::new(),
            tally: Arc::new(Mutex::new(LoadTally::new(window))),
            settings: Arc::new(settings),
            timer,
        }
    }

    /// Offers the load and waits for the last reply.
    pub(crate) async fn offer(self) -> LoadTally {
        let mut refreshes = JoinSet::new();
        if self.settings.ask {
            let (settings, client) = ((*self.settings).clone(), self.client.clone());
            refreshes.spawn(self.book.clone().refresh(settings, client, self.timer.clone()));
        }
        let mut queries = self.send_all().await;
        while queries.join_next().await.is_some() {}
        drop(refreshes);
        self.tally.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn send_all(&self) -> JoinSet<()> {
        let mut rng = SmallRng::seed_from_u64(self.settings.seed);
        let mut queries = JoinSet::new();
        let start = self.timer.now();
        let counted_from = start + Duration::from_millis(self.settings.warmup_ms);
        let end = counted_from + Duration::from_millis(self.settings.duration_ms);
        let mut intended = start + self.draw_gap(&mut rng);
        let mut number = 0;
        while intended < end {
            self.timer.sleep_until(intended).await;
            let query = LoadQuery {
                number,
                choice: rng.random(),
                intended,
                counted: counted_from <= intended,
            };
            queries.spawn(self.clone().send(query));
            while queries.try_join_next().is_some() {}
            number += 1;
            intended = intended + self.draw_gap(&mut rng);
        }
        queries
    }

    fn draw_gap(&self, rng: &mut SmallRng) -> Duration {
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
        let reply = self.timer.timeout(limit, self.request(query.choice, &content)).await;
        let reply = reply.ok().flatten();
        if query.counted {
            let latency = self.timer.now().since(query.intended);
            let mut tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
            tally.record(latency, &content, reply.as_ref());
        }
    }

    async fn request(&self, choice: u64, content: &Value) -> Option<QueryReply> {
        let node = self.book.pick(choice)?;
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
    choice: u64,
    intended: TimePoint,
    counted: bool,
}

//! Simulated callers that fetch node addresses and honour the lifetime of each address reply.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use mux_model::TimePoint;
use mux_timer::TimerService;
use serde_json::Value;
use tokio::task::JoinHandle;

use super::{
    CallerClient, HttpClient, Installation, QueryOutcome, QueryRequest, WAIT_TIMEOUT, wait_until,
};

const QUERY_PERIOD: Duration = Duration::from_millis(10);
const MAX_ATTEMPTS: usize = 20;

/// Callers that query one service in the background until stopped.
#[derive(Debug)]
pub struct SimulatedCallers {
    timer: TimerService,
    stopped: Arc<AtomicBool>,
    completed: Arc<AtomicUsize>,
    tasks: Vec<JoinHandle<CallerReport>>,
}

/// Outcomes of the requests of one or more callers.
#[derive(Debug, Default)]
pub struct CallerReport {
    /// Requests that were completed with full coverage.
    pub completed: usize,
    /// Attempts rejected with the verdict `not_run`.
    pub rejected: usize,
    /// Attempts at an unexpired address without a complete reply, or with a reply that neither has
    /// full coverage nor states that the request did not run.
    pub failed: Vec<String>,
    /// Requests that were not completed within the permitted number of attempts.
    pub retries_exhausted: Vec<String>,
}

/// One simulated caller.
#[derive(Debug)]
struct SimulatedCaller {
    name: String,
    service: String,
    timer: TimerService,
    node_addresses: Vec<SocketAddr>,
    http: HttpClient,
    caller: CallerClient,
    cached: Option<CachedAddresses>,
    report: CallerReport,
}

/// Addresses from one reply, with the end of their lifetime.
#[derive(Debug, Clone)]
struct CachedAddresses {
    addresses: Vec<SocketAddr>,
    expires_at: TimePoint,
}

impl SimulatedCallers {
    /// Starts `count` callers, which can fetch addresses from every node.
    pub fn start(installation: &Installation, service: &str, count: usize) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let completed = Arc::new(AtomicUsize::new(0));
        let node_addresses: Vec<_> =
            installation.nodes.iter().map(|it| it.addresses.caller).collect();
        let tasks = (0..count).map(|number| {
            let caller = SimulatedCaller {
                name: format!("caller-{number}"),
                service: service.to_owned(),
                timer: installation.timer.clone(),
                node_addresses: node_addresses.clone(),
                http: HttpClient::new(),
                caller: CallerClient::new(),
                cached: None,
                report: CallerReport::default(),
            };
            tokio::spawn(caller.run(Arc::clone(&stopped), Arc::clone(&completed)))
        });
        Self { timer: installation.timer.clone(), tasks: tasks.collect(), stopped, completed }
    }

    /// Waits until the callers together have completed `count` more requests.
    ///
    /// # Panics
    ///
    /// Panics if this takes longer than [`WAIT_TIMEOUT`].
    pub async fn wait_for_completed_queries(&self, count: usize) {
        let goal = self.completed.load(Ordering::Relaxed) + count;
        wait_until(&self.timer, "callers complete more requests", async || {
            (goal <= self.completed.load(Ordering::Relaxed)).then_some(())
        })
        .await;
    }

    /// Stops the callers and returns the sum of their reports.
    ///
    /// # Panics
    ///
    /// Panics if a caller panicked.
    pub async fn stop(self) -> CallerReport {
        self.stopped.store(true, Ordering::Relaxed);
        let mut combined = CallerReport::default();
        for task in self.tasks {
            let report = task.await.expect("the caller task completes");
            combined.completed += report.completed;
            combined.rejected += report.rejected;
            combined.failed.extend(report.failed);
            combined.retries_exhausted.extend(report.retries_exhausted);
        }
        combined
    }
}

impl SimulatedCaller {
    async fn run(mut self, stopped: Arc<AtomicBool>, completed: Arc<AtomicUsize>) -> CallerReport {
        let mut number = 0;
        while !stopped.load(Ordering::Relaxed) {
            number += 1;
            let key = format!("{}-{number}", self.name);
            if self.send_until_completed(&key).await {
                self.report.completed += 1;
                completed.fetch_add(1, Ordering::Relaxed);
            } else {
                self.report.retries_exhausted.push(key);
            }
            self.timer.sleep(QUERY_PERIOD).await;
        }
        self.report
    }

    /// Sends a request up to [`MAX_ATTEMPTS`] times; returns whether it was completed.
    ///
    /// After a rejection, the next attempt goes to the first address in the rejection, if any.
    async fn send_until_completed(&mut self, key: &str) -> bool {
        let mut alternative: Option<SocketAddr> = None;
        for _ in 0..MAX_ATTEMPTS {
            let cached = self.current_addresses().await;
            let address = alternative.take().unwrap_or(cached.addresses[0]);
            let outcome =
                self.caller.query(address, &self.service, QueryRequest::with_key(key)).await;
            match outcome {
                Some(it) if it.verdict == "done" && it.has_full_coverage() => return true,
                Some(it) if it.verdict == "not_run" => {
                    self.report.rejected += 1;
                    alternative = alternative_address(&it);
                    self.cached = None;
                }
                other => self.record_failure(key, address, &cached, other.as_ref()),
            }
        }
        false
    }

    /// Records a failed attempt, unless it had no reply and its address has expired meanwhile.
    ///
    /// In that case it is unknown whether the request was sent before the address expired, and it
    /// is assumed to have been sent too late.
    fn record_failure(
        &mut self,
        key: &str,
        address: SocketAddr,
        cached: &CachedAddresses,
        outcome: Option<&QueryOutcome>,
    ) {
        self.cached = None;
        if outcome.is_some() || self.timer.now() < cached.expires_at {
            self.report.failed.push(format!("{key} at {address}: {outcome:?}"));
        }
    }

    /// Returns the cached addresses, or fetches new ones if they have expired.
    async fn current_addresses(&mut self) -> CachedAddresses {
        let valid = self.cached.clone().filter(|it| self.timer.now() < it.expires_at);
        if let Some(cached) = valid {
            return cached;
        }
        let cached = self.fetch_addresses_with_retries().await;
        self.node_addresses.rotate_left(1);
        self.cached = Some(cached.clone());
        cached
    }

    async fn fetch_addresses_with_retries(&self) -> CachedAddresses {
        let deadline = self.timer.now() + WAIT_TIMEOUT;
        while self.timer.now() < deadline {
            for address in &self.node_addresses {
                if let Some(cached) = self.fetch_addresses(*address).await {
                    return cached;
                }
            }
            self.timer.sleep(QUERY_PERIOD).await;
        }
        panic!("{}: no node returned addresses within {WAIT_TIMEOUT:?}", self.name);
    }

    async fn fetch_addresses(&self, address: SocketAddr) -> Option<CachedAddresses> {
        let requested_at = self.timer.now();
        let path = format!("/v1/services/{}/addresses?caller={}", self.service, self.name);
        let reply = self.http.get(address, &path).await?;
        let lifetime = Duration::from_millis(reply["lifetime_ms"].as_u64()?);
        let entries = reply["addresses"].as_array()?.iter().map(|it| &it["address"]);
        let addresses: Vec<_> = entries.filter_map(parse_address).collect();
        if addresses.is_empty() {
            return None;
        }
        Some(CachedAddresses { addresses, expires_at: requested_at + lifetime })
    }
}

fn alternative_address(outcome: &QueryOutcome) -> Option<SocketAddr> {
    parse_address(outcome.body["addresses"].get(0)?)
}

fn parse_address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

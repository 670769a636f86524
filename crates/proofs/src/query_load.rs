//! Background queries to given nodes.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use mux_timer::TimerService;
use tokio::task::JoinHandle;

use super::{CallerClient, Installation, QueryOutcome, QueryRequest, wait_until};

const QUERY_PERIOD: Duration = Duration::from_millis(10);

/// Sends queries to some nodes until stopped, at most one at a time to each node.
#[derive(Debug)]
pub struct QueryLoad {
    timer: TimerService,
    stopped: Arc<AtomicBool>,
    completed: Vec<Arc<AtomicUsize>>,
    tasks: Vec<JoinHandle<Vec<String>>>,
}

/// Sends queries to one node.
#[derive(Debug)]
struct QueryWorker {
    timer: TimerService,
    caller: CallerClient,
    address: SocketAddr,
    service: String,
    stopped: Arc<AtomicBool>,
    completed: Arc<AtomicUsize>,
}

impl QueryLoad {
    /// Starts queries of `service` to the nodes with these addresses for callers.
    pub fn start(installation: &Installation, addresses: &[SocketAddr], service: &str) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let completed: Vec<_> = addresses.iter().map(|_| Arc::default()).collect();
        let workers = addresses.iter().zip(&completed).map(|(address, completed)| QueryWorker {
            timer: installation.timer.clone(),
            caller: CallerClient::new(),
            address: *address,
            service: service.to_owned(),
            stopped: Arc::clone(&stopped),
            completed: Arc::clone(completed),
        });
        let tasks = workers.map(|it| tokio::spawn(it.run())).collect();
        Self { timer: installation.timer.clone(), stopped, completed, tasks }
    }

    /// Waits until each node has completed `count` more queries with full coverage.
    ///
    /// # Panics
    ///
    /// Panics if the wait times out.
    pub async fn wait_for_completed_queries(&self, count: usize) {
        for completed in &self.completed {
            let goal = completed.load(Ordering::Relaxed) + count;
            wait_until(&self.timer, "the node completes more queries", async || {
                (goal <= completed.load(Ordering::Relaxed)).then_some(())
            })
            .await;
        }
    }

    /// Stops the queries and returns a description of each that had no reply with full coverage.
    ///
    /// # Panics
    ///
    /// Panics if a query task panicked.
    pub async fn stop(self) -> Vec<String> {
        self.stopped.store(true, Ordering::Relaxed);
        let mut failures = Vec::new();
        for task in self.tasks {
            failures.extend(task.await.expect("the task completes"));
        }
        failures
    }
}

impl QueryWorker {
    async fn run(self) -> Vec<String> {
        let mut failures = Vec::new();
        while !self.stopped.load(Ordering::Relaxed) {
            let outcome =
                self.caller.query(self.address, &self.service, QueryRequest::default()).await;
            match describe_failure(outcome.as_ref()) {
                None => {
                    self.completed.fetch_add(1, Ordering::Relaxed);
                }
                Some(failure) => failures.push(format!("{}: {failure}", self.address)),
            }
            self.timer.sleep(QUERY_PERIOD).await;
        }
        failures
    }
}

fn describe_failure(outcome: Option<&QueryOutcome>) -> Option<String> {
    match outcome {
        None => Some("no complete reply".to_owned()),
        Some(it) if it.verdict == "done" && it.has_full_coverage() => None,
        Some(it) => Some(format!("{} {}", it.verdict, it.body)),
    }
}

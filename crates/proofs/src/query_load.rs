//! Queries that go on in the background.

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

use super::{CallerClient, Installation, QueryOutcome, QueryParts, wait_until};

const QUERY_PERIOD: Duration = Duration::from_millis(10);

/// Queries sent to some nodes, one after another at each, until told to end.
#[derive(Debug)]
pub struct QueryLoad {
    timer: TimerService,
    ended: Arc<AtomicBool>,
    done: Vec<Arc<AtomicUsize>>,
    tasks: Vec<JoinHandle<Vec<String>>>,
}

/// Queries sent to one node.
#[derive(Debug)]
struct QueryStream {
    timer: TimerService,
    caller: CallerClient,
    at: SocketAddr,
    service: String,
    ended: Arc<AtomicBool>,
    done: Arc<AtomicUsize>,
}

impl QueryLoad {
    /// Starts to query `service` at the nodes with these caller addresses.
    pub fn start(installation: &Installation, nodes: &[SocketAddr], service: &str) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let done: Vec<_> = nodes.iter().map(|_| Arc::default()).collect();
        let streams = nodes.iter().zip(&done).map(|(at, done)| QueryStream {
            timer: installation.timer.clone(),
            caller: CallerClient::new(),
            at: *at,
            service: service.to_owned(),
            ended: Arc::clone(&ended),
            done: Arc::clone(done),
        });
        let tasks = streams.map(|it| tokio::spawn(it.run())).collect();
        Self { timer: installation.timer.clone(), ended, done, tasks }
    }

    /// Waits until each node has answered `count` more queries.
    ///
    /// # Panics
    ///
    /// Panics if that never happens.
    pub async fn wait_for_more(&self, count: usize) {
        for done in &self.done {
            let goal = done.load(Ordering::Relaxed) + count;
            wait_until(&self.timer, "more answers", async || {
                (goal <= done.load(Ordering::Relaxed)).then_some(())
            })
            .await;
        }
    }

    /// Ends the queries and returns those that were not answered in full, in words.
    ///
    /// # Panics
    ///
    /// Panics if a stream of queries panicked.
    pub async fn end(self) -> Vec<String> {
        self.ended.store(true, Ordering::Relaxed);
        let mut failures = Vec::new();
        for task in self.tasks {
            failures.extend(task.await.expect("a stream of queries"));
        }
        failures
    }
}

impl QueryStream {
    async fn run(self) -> Vec<String> {
        let mut failures = Vec::new();
        while !self.ended.load(Ordering::Relaxed) {
            let outcome = self.caller.query(self.at, &self.service, QueryParts::default()).await;
            match describe_failure(outcome.as_ref()) {
                None => {
                    self.done.fetch_add(1, Ordering::Relaxed);
                }
                Some(failure) => failures.push(format!("{}: {failure}", self.at)),
            }
            self.timer.sleep(QUERY_PERIOD).await;
        }
        failures
    }
}

fn describe_failure(outcome: Option<&QueryOutcome>) -> Option<String> {
    match outcome {
        None => Some("no complete answer".to_owned()),
        Some(it) if it.verdict == "done" && it.is_full() => None,
        Some(it) => Some(format!("{} {}", it.verdict, it.content)),
    }
}

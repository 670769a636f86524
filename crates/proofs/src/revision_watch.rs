//! Samples of the revisions that nodes have in force.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use mux_timer::TimerService;
use tokio::task::JoinHandle;

use super::{Installation, OperatorClient};

const SAMPLE_PERIOD: Duration = Duration::from_millis(20);

/// Reads the revision of each node again and again until told to end.
#[derive(Debug)]
pub struct RevisionWatch {
    ended: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<RevisionHistory>>,
}

/// Revisions that one node reported, in order.
#[derive(Debug)]
pub struct RevisionHistory {
    /// Name of the node.
    pub node: String,
    /// The revisions, without repetitions.
    pub revisions: Vec<u64>,
}

impl RevisionWatch {
    /// Starts to read the revisions of all nodes.
    pub fn start(installation: &Installation) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let tasks = installation.nodes.iter().map(|node| {
            let timer = installation.timer.clone();
            let at = node.addresses.operator;
            tokio::spawn(watch_node(timer, node.name.clone(), at, Arc::clone(&ended)))
        });
        Self { tasks: tasks.collect(), ended }
    }

    /// Ends the readings and returns what each node reported.
    ///
    /// # Panics
    ///
    /// Panics if a reading panicked.
    pub async fn end(self) -> Vec<RevisionHistory> {
        self.ended.store(true, Ordering::Relaxed);
        let mut histories = Vec::new();
        for task in self.tasks {
            histories.push(task.await.expect("readings of one node"));
        }
        histories
    }
}

impl RevisionHistory {
    /// Returns whether the revision of the node never went back.
    pub fn only_rises(&self) -> bool {
        self.revisions.is_sorted()
    }
}

async fn watch_node(
    timer: TimerService,
    node: String,
    at: SocketAddr,
    ended: Arc<AtomicBool>,
) -> RevisionHistory {
    let operators = OperatorClient::new(at);
    let mut revisions = Vec::new();
    while !ended.load(Ordering::Relaxed) {
        if let Some(status) = operators.status().await {
            revisions.push(status.revision);
            revisions.dedup();
        }
        timer.sleep(SAMPLE_PERIOD).await;
    }
    RevisionHistory { node, revisions }
}

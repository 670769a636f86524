//! Sampling of the revisions in force at nodes.

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

/// Samples the revision in force at each node until stopped.
#[derive(Debug)]
pub struct RevisionSampler {
    stopped: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<RevisionHistory>>,
}

/// Revisions reported by one node, in the order of observation.
#[derive(Debug)]
pub struct RevisionHistory {
    /// Name of the node.
    pub node: String,
    /// The revisions, without consecutive duplicates.
    pub revisions: Vec<u64>,
}

impl RevisionSampler {
    /// Starts to sample the revisions of all nodes.
    pub fn start(installation: &Installation) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let tasks = installation.nodes.iter().map(|node| {
            let timer = installation.timer.clone();
            let address = node.addresses.operator;
            tokio::spawn(sample_node(timer, node.name.clone(), address, Arc::clone(&stopped)))
        });
        Self { tasks: tasks.collect(), stopped }
    }

    /// Stops sampling and returns the history of each node.
    ///
    /// # Panics
    ///
    /// Panics if a sampling task panicked.
    pub async fn stop(self) -> Vec<RevisionHistory> {
        self.stopped.store(true, Ordering::Relaxed);
        let mut histories = Vec::new();
        for task in self.tasks {
            histories.push(task.await.expect("the sampling task completes"));
        }
        histories
    }
}

impl RevisionHistory {
    /// Returns whether the revision never decreased.
    pub fn is_monotonic(&self) -> bool {
        self.revisions.is_sorted()
    }
}

async fn sample_node(
    timer: TimerService,
    node: String,
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
) -> RevisionHistory {
    let operator_client = OperatorClient::new(address);
    let mut revisions = Vec::new();
    while !stopped.load(Ordering::Relaxed) {
        if let Some(status) = operator_client.status().await {
            revisions.push(status.revision);
            revisions.dedup();
        }
        timer.sleep(SAMPLE_PERIOD).await;
    }
    RevisionHistory { node, revisions }
}

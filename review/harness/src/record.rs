//! What was sent, answered and run.

use std::{sync::Mutex, time::Instant};

/// A request that a leaf has begun to work on.
#[derive(Clone)]
pub struct Run {
    pub at: f64,
    pub leaf: String,
    pub service: String,
    pub request: String,
    pub method: String,
    pub target: String,
    pub body_bytes: usize,
    /// Whether the body is the one that the client sent.
    pub is_whole: bool,
}

/// A request of a client and its answer; status 0 if there was none.
#[derive(Clone)]
pub struct Sent {
    pub at: f64,
    pub took: f64,
    pub node: usize,
    pub request: String,
    pub status: u16,
}

pub struct Record {
    start: Instant,
    pub runs: Mutex<Vec<Run>>,
    pub sent: Mutex<Vec<Sent>>,
    pub notes: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            runs: Mutex::default(),
            sent: Mutex::default(),
            notes: Mutex::default(),
        }
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add_run(&self, run: Run) {
        self.runs.lock().expect("runs").push(run);
    }

    pub fn add_sent(&self, sent: Sent) {
        self.sent.lock().expect("sent").push(sent);
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.now());
        println!("{line}");
        self.notes.lock().expect("notes").push(line);
    }
}

//! What was sent, answered and run.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    start: Instant,
    logs_runs: bool,
}

impl Record {
    pub fn create(path: &Path, logs_runs: bool) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        let file = Arc::new(Mutex::new(BufWriter::new(file)));
        Self { file, start: Instant::now(), logs_runs }
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        let seconds = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }

    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.elapsed().as_secs_f64());
        self.line(text);
    }

    pub fn run(&self, id: &str, service: &str, leaf: &str) {
        if self.logs_runs {
            self.line(&format!("run {id} at {service} {leaf}"));
        }
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }

    pub fn unix_ms(&self) -> u128 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis())
    }
}

//! Temporary directory for the settings files and logs of one test.

use std::{
    fs,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
};

use serde_json::Value;

static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Directory for settings files and logs; removed on drop unless the thread is panicking.
#[derive(Debug)]
pub struct WorkDirectory {
    path: PathBuf,
}

impl WorkDirectory {
    /// Creates a temporary directory, or reuses one that an earlier process with the same ID left.
    ///
    /// # Panics
    ///
    /// Panics if the directory can't be created.
    pub fn create() -> Self {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("mustardmux-proofs-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("the working directory can be created");
        Self { path }
    }

    /// Writes `content` to `name.json` and returns the path of the file.
    ///
    /// # Panics
    ///
    /// Panics if the file can't be written.
    pub fn write(&self, name: &str, content: &Value) -> PathBuf {
        let path = self.path.join(format!("{name}.json"));
        fs::write(&path, content.to_string()).expect("the settings file can be written");
        path
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for WorkDirectory {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("settings and logs of the failed test are in {}", self.path.display());
            return;
        }
        // A leftover temporary directory is harmless.
        let _ = fs::remove_dir_all(&self.path);
    }
}

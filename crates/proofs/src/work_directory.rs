//! The directory of one installation.

use std::{
    fs,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
};

use serde_json::Value;

static NUMBER: AtomicU32 = AtomicU32::new(0);

/// Directory for settings files and logs; removed when dropped, unless the test failed.
#[derive(Debug)]
pub struct WorkDirectory {
    path: PathBuf,
}

impl WorkDirectory {
    /// Creates a directory of its own.
    ///
    /// # Panics
    ///
    /// Panics if it can't be created.
    pub fn create() -> Self {
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("mustardmux-proofs-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a directory for settings and logs");
        Self { path }
    }

    /// Writes a JSON file and returns its path.
    ///
    /// # Panics
    ///
    /// Panics if it can't be written.
    pub fn write(&self, name: &str, content: &Value) -> PathBuf {
        let path = self.path.join(format!("{name}.json"));
        fs::write(&path, content.to_string()).expect("a settings file");
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
            eprintln!("settings and logs are kept in {}", self.path.display());
            return;
        }
        // A directory that stays behind does no harm.
        let _ = fs::remove_dir_all(&self.path);
    }
}

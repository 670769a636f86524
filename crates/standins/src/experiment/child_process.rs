//! Child processes and their files.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use serde::Serialize;

/// Temporary directory for settings files and logs; removed on drop.
#[derive(Debug)]
pub(crate) struct WorkDirectory {
    path: PathBuf,
}

impl WorkDirectory {
    /// Creates a directory that is named after the id of this process.
    ///
    /// # Errors
    ///
    /// Fails if it can't be created.
    pub(crate) fn create() -> io::Result<Self> {
        let name = format!("mustardmux-experiment-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(Self { path })
    }

    /// Writes a JSON file and returns its path.
    ///
    /// # Errors
    ///
    /// Fails if it can't be written.
    pub(crate) fn write<T: Serialize>(&self, name: &str, content: &T) -> io::Result<PathBuf> {
        let path = self.path.join(format!("{name}.json"));
        fs::write(&path, serde_json::to_vec(content)?)?;
        Ok(path)
    }

    fn log_file(&self, name: &str) -> io::Result<fs::File> {
        fs::File::create(self.path.join(format!("{name}.log")))
    }
}

impl Drop for WorkDirectory {
    fn drop(&mut self) {
        // A leftover temporary directory is harmless.
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// Child process; killed on drop.
#[derive(Debug)]
pub(crate) struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts `program` with `arguments`; its output goes to files named after `name`.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started.
    pub(crate) fn start(
        directory: &WorkDirectory,
        name: &str,
        program: &Path,
        arguments: &[&str],
    ) -> io::Result<Self> {
        let child = command(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(directory.log_file(name)?)
            .stderr(directory.log_file(&format!("{name}-errors"))?)
            .spawn()?;
        Ok(Self { child })
    }

    /// Returns the processor time used so far, in clock ticks.
    ///
    /// # Errors
    ///
    /// Fails if `/proc/<pid>/stat` can't be read; a process that has exited still returns its last
    /// value.
    pub(crate) fn cpu_ticks(&self) -> io::Result<u64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        parse_cpu_ticks(&stat).ok_or_else(|| io::Error::other("malformed /proc/<pid>/stat"))
    }

    /// Returns the resident memory, in kilobytes.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub(crate) fn resident_kb(&self) -> io::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
        let count = line.and_then(|it| it.split_whitespace().next()?.parse().ok());
        count.ok_or_else(|| io::Error::other("no VmRSS in /proc/<pid>/status"))
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs `program` and waits until it exits.
///
/// # Errors
///
/// Fails with its standard error output if it doesn't exit successfully.
pub(crate) fn run_to_completion(program: &Path, arguments: &[&str]) -> io::Result<()> {
    let output = command(program).args(arguments).stdin(Stdio::null()).output()?;
    if output.status.success() {
        return Ok(());
    }
    Err(io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned()))
}

#[expect(clippy::disallowed_methods, reason = "experiments run other programs")]
fn command(program: &Path) -> Command {
    Command::new(program)
}

/// Sums user and system time, the 14th and 15th fields; the 2nd field may contain spaces.
fn parse_cpu_ticks(stat: &str) -> Option<u64> {
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

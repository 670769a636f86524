//! Child processes of the tests.

use std::{
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
};

use super::WorkDirectory;

/// Program of this workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Program {
    /// The product: `mustardmux`.
    Mustardmux,
    /// The stand-ins for the platform and the upstreams: `standins`.
    Standins,
}

impl Program {
    /// Returns the path of the executable, in the parent directory of the test executables.
    ///
    /// # Panics
    ///
    /// Panics if the program has not been built.
    pub fn path(self) -> PathBuf {
        let name = match self {
            Self::Mustardmux => "mustardmux",
            Self::Standins => "standins",
        };
        let test = std::env::current_exe().expect("the path of the test executable is known");
        let path = test
            .parent()
            .and_then(Path::parent)
            .expect("the test executable lies in a target directory")
            .join(name);
        assert!(
            path.exists(),
            "{} is missing; run `cargo build -p mustardmux -p standins` first",
            path.display()
        );
        path
    }
}

/// Child process that is killed when this is dropped, also during a panic.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts `program`; standard output and error are appended to `name.log` in `directory`.
    ///
    /// # Panics
    ///
    /// Panics if it can't be started.
    pub fn start(
        directory: &WorkDirectory,
        name: &str,
        program: Program,
        arguments: &[&str],
    ) -> Self {
        Self::start_path(directory, name, &program.path(), arguments)
    }

    /// Starts `program` like [`Self::start`], with at most `descriptors` open descriptors.
    ///
    /// # Panics
    ///
    /// Panics if it can't be started.
    pub fn start_limited(
        directory: &WorkDirectory,
        name: &str,
        program: Program,
        arguments: &[&str],
        descriptors: usize,
    ) -> Self {
        let script = format!("ulimit -n {descriptors}; exec \"$0\" \"$@\"");
        let path = program.path();
        let program = path.to_string_lossy();
        let arguments = [&["-c", &script, &program], arguments].concat();
        Self::start_path(directory, name, Path::new("sh"), &arguments)
    }

    /// Starts the program at `path` like [`Self::start`].
    ///
    /// # Panics
    ///
    /// Panics if it can't be started.
    pub fn start_path(
        directory: &WorkDirectory,
        name: &str,
        path: &Path,
        arguments: &[&str],
    ) -> Self {
        let log = directory.path().join(format!("{name}.log"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("the log file can be opened");
        let errors = log.try_clone().expect("the handle of the log file can be duplicated");
        let child = command(path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program can be started");
        Self { child }
    }

    /// Returns the exit status, or `None` while the process runs.
    ///
    /// # Panics
    ///
    /// Panics if the status can't be read.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the exit status can be read")
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        // The process may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM, which begins a planned stop.
    pub fn terminate(&mut self) {
        self.signal("TERM");
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&mut self) {
        self.signal("STOP");
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&mut self) {
        self.signal("CONT");
    }

    /// Sends SIGHUP, after which the process reads its settings again.
    pub fn hang_up(&mut self) {
        self.signal("HUP");
    }

    /// Sends a signal unless the process has exited, as its ID may then have been reused.
    fn signal(&mut self, name: &str) {
        if self.exit_status().is_some() {
            return;
        }
        let id = self.child.id().to_string();
        let status = command(Path::new("kill")).args(["-s", name, &id]).status();
        assert!(status.is_ok_and(|it| it.success()), "SIG{name} could not be sent to process {id}");
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

#[expect(clippy::disallowed_methods, reason = "the tests run the programs as processes")]
fn command(program: &Path) -> Command {
    Command::new(program)
}

//! Processes that the tests start, signal and end.

use std::{
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
};

use super::WorkDirectory;

/// A program of this workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Program {
    /// The program itself.
    Mustardmux,
    /// The stand-ins.
    Standins,
}

impl Program {
    /// Returns the path of the built program, which lies one level above the test programs.
    ///
    /// # Panics
    ///
    /// Panics if the program is not built.
    pub fn path(self) -> PathBuf {
        let name = match self {
            Self::Mustardmux => "mustardmux",
            Self::Standins => "standins",
        };
        let test = std::env::current_exe().expect("the path of the test program");
        let path = test.parent().and_then(Path::parent).expect("a target directory").join(name);
        assert!(
            path.exists(),
            "{} is missing; run `cargo build -p mustardmux -p standins` first",
            path.display()
        );
        path
    }
}

/// A process that ends when this is dropped, also on panic.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts `program`; its output goes to the file `name.log`.
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
        let log = directory.path().join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let errors = log.try_clone().expect("a second handle of the log file");
        let child = command(&program.path())
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program starts");
        Self { child }
    }

    /// Returns how the process ended, or `None` while it runs.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be asked.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the state of a child")
    }

    /// Ends the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM, the request for a planned stop.
    pub fn terminate(&mut self) {
        self.signal("TERM");
    }

    /// Stops the process with SIGSTOP.
    pub fn pause(&mut self) {
        self.signal("STOP");
    }

    /// Lets a paused process go on.
    pub fn resume(&mut self) {
        self.signal("CONT");
    }

    /// Sends a signal unless the process has ended, as its id may then belong to another.
    fn signal(&mut self, name: &str) {
        if self.exit_status().is_some() {
            return;
        }
        let id = self.child.id().to_string();
        let status = command(Path::new("kill")).args(["-s", name, &id]).status();
        assert!(status.is_ok_and(|it| it.success()), "process {id} takes no SIG{name}");
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

#[expect(clippy::disallowed_methods, reason = "the tests run the program as processes")]
fn command(program: &Path) -> Command {
    Command::new(program)
}

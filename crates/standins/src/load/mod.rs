//! Load generation.

use std::{io, path::Path};

/// Runs until the process is ended.
pub(crate) async fn run(settings: &Path) -> io::Result<()> {
    Err(io::Error::other(format!("nothing to run for {}", settings.display())))
}

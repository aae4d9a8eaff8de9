//! The programs of one build, and the commands that run them.

use std::path::{Path, PathBuf};
use std::process::Command;

/// One of the system's three programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Daemon {
    /// `violetyoke-store`.
    Store,
    /// `violetyoke-registry`.
    Registry,
    /// `violetyoke-proxy`.
    Proxy,
}

impl Daemon {
    fn name(self) -> &'static str {
        match self {
            Daemon::Store => "store",
            Daemon::Registry => "registry",
            Daemon::Proxy => "proxy",
        }
    }
}

/// The location of the programs of one build.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Programs {
    /// One program that runs each daemon by its name as the first argument.
    Single(PathBuf),
    /// A folder with a program for each daemon, as `deploy/system.toml` builds them.
    Folder(PathBuf),
}

impl Programs {
    /// The program of a daemon.
    #[must_use]
    pub fn path(&self, daemon: Daemon) -> PathBuf {
        match self {
            Programs::Single(program) => program.clone(),
            Programs::Folder(folder) => folder.join(format!("violetyoke-{}", daemon.name())),
        }
    }

    /// The command that runs a daemon with a settings file.
    #[must_use]
    pub fn command(&self, daemon: Daemon, settings: &Path) -> Command {
        let mut command = Command::new(self.path(daemon));
        if let Programs::Single(_) = self {
            command.arg(daemon.name());
        }
        command.env("VIOLETYOKE_CONFIG", settings);
        command
    }
}

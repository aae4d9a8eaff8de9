//! The command line of a daemon.

use lexopt::prelude::{Long, Short};
use std::path::PathBuf;
use violetyoke_api::Settings;

/// The part of the help text that is the same for all daemons.
pub(super) const OPTIONS: &str = "
  --settings FILE  settings (default: the file that $VIOLETYOKE_CONFIG names)
  --check          read the settings, say what is wrong with them, and end
  --help           this text

Exit status: 0 fine, 1 it can't run, 2 the command line is wrong.";

/// What the command line asks for.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum CommandLine {
    /// To run the daemon.
    Run {
        /// The settings file.
        settings: PathBuf,
        /// Only read the settings, and end.
        check: bool,
    },
    /// To print the help text.
    Help,
}

impl CommandLine {
    /// Reads the arguments after the program's name; `default_settings` is the settings file if none is named.
    ///
    /// # Errors
    ///
    /// If an argument is unknown or lacks its value, or if there is no settings file.
    pub(super) fn parse(
        parser: &mut lexopt::Parser,
        default_settings: Option<PathBuf>,
    ) -> Result<CommandLine, lexopt::Error> {
        let (mut file, mut check) = (default_settings, false);
        while let Some(argument) = parser.next()? {
            match argument {
                Long("settings") => file = Some(PathBuf::from(parser.value()?)),
                Long("check") => check = true,
                Long("help") | Short('h') => return Ok(CommandLine::Help),
                other => return Err(other.unexpected()),
            }
        }
        match file {
            Some(settings) => Ok(CommandLine::Run { settings, check }),
            None => Err(format!("no settings: give --settings or ${}", Settings::VARIABLE).into()),
        }
    }
}

//! The command line of a daemon.

use lexopt::prelude::{Long, Short};
use std::path::PathBuf;
use violetyoke_api::Settings;

/// The part of the help text that all daemons have in common.
pub(super) const OPTIONS: &str = "
  --settings FILE  settings (default: the file that $VIOLETYOKE_CONFIG names)
  --check          read the settings, say what is wrong with them, and end
  --help           this text

Exit status: 0 fine, 1 it can't run, 2 the command line is wrong.";

/// The parsed command line.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum CommandLine {
    /// Run the daemon.
    Run {
        /// The settings file.
        settings: PathBuf,
        /// Whether only to validate the settings.
        check: bool,
    },
    /// Print the help text.
    Help,
}

impl CommandLine {
    /// Parses the arguments after the program's name. `default_settings` is the settings file if the arguments name none.
    ///
    /// # Errors
    ///
    /// If an argument is unknown or lacks its value, or if no settings file is named.
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

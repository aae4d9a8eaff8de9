//! The command line: a verb, what it is about, and options.

use crate::error::CommandError;
use lexopt::prelude::*;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What `--help` prints.
pub const HELP: &str = "violetyoke-ctl VERB [OPTIONS]

What a change would move, and the operators' calls.

  plan FILE               what FILE would change of the configuration in force
  check FILE              whether FILE is a configuration that would be taken
  get                     the configuration in force, as it was sent
  put FILE                sends FILE; what it changes is told first
  evacuate ZONE           nothing more is sent to the backends of a zone
  restore ZONE            takes that back
  store FOLDER            what a store's disk holds, offline; with --configuration, that alone
  capacity                what each backend was given and has shown, gathered from edges

  --control ADDRESS       a core machine's address for operators; several may be given
  --edge ADDRESS          capacity: an edge's `ready` address; several may be given
  --from FILE             plan: against this file, not against the running system
  --within SECONDS        how long a clear answer is waited for (20)
  --configuration         store: the configuration that it holds, as it was sent
  --json                  for programs
  --help                  this text

Exit status: 0 done, or would be; 1 refused, or would have no effect; 2 the command line is wrong;
3 no clear answer: it may be in force or may not.";

/// How long a conclusive answer is waited for, unless `--within` says otherwise.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(20);

/// The command line as it was read.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct CommandLine {
    /// The first word.
    pub verb: Option<String>,
    /// The second word: a file, a folder or a zone.
    pub operand: Option<String>,
    /// `--control`: where registries accept commands of operators.
    pub control_addresses: Vec<SocketAddr>,
    /// `--edge`: where edges report about backends.
    pub edge_addresses: Vec<SocketAddr>,
    /// `--from`: the configuration that a plan starts from.
    pub from: Option<PathBuf>,
    /// `--within`: how long a conclusive answer is waited for.
    pub within: Duration,
    /// `--json`: output for programs.
    pub json: bool,
    /// `--configuration`: of a store, the configuration alone.
    pub configuration_only: bool,
    /// `--help`.
    pub help: bool,
}

/// A verb with what it is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// Validates a file.
    Check(&'a Path),
    /// Says what a file would change.
    Plan(&'a Path),
    /// Prints the configuration in force.
    Get,
    /// Says what a file would change, and sends it.
    Put(&'a Path),
    /// Takes a zone out of use.
    Evacuate(&'a str),
    /// Takes a zone into use again.
    Restore(&'a str),
    /// Sums up what edges report about backends.
    Capacity,
    /// Inspects a store's folder.
    Store(&'a Path),
}

impl CommandLine {
    /// Reads the command line; options may stand before and after the verb.
    ///
    /// # Errors
    /// When an option is unknown or its value is not what it should be, or there is a third word.
    pub fn parse(mut parser: lexopt::Parser) -> Result<CommandLine, lexopt::Error> {
        let mut line = CommandLine { within: DEFAULT_TIMEOUT, ..CommandLine::default() };
        while let Some(argument) = parser.next()? {
            match argument {
                Long("control") => line.control_addresses.push(parser.value()?.parse()?),
                Long("edge") => line.edge_addresses.push(parser.value()?.parse()?),
                Long("from") => line.from = Some(parser.value()?.into()),
                Long("within") => line.within = Duration::from_secs(parser.value()?.parse()?),
                Long("configuration") => line.configuration_only = true,
                Long("json") => line.json = true,
                Long("help") | Short('h') => line.help = true,
                Value(word) if line.verb.is_none() => line.verb = Some(word.string()?),
                Value(word) if line.operand.is_none() => line.operand = Some(word.string()?),
                other => return Err(other.unexpected()),
            }
        }
        Ok(line)
    }

    /// The verb with what it is about.
    ///
    /// # Errors
    /// When there is no such verb, or it is about something that is missing.
    pub fn command(&self) -> Result<Command<'_>, CommandError> {
        let operand = || self.operand.as_deref().ok_or(CommandError::MissingOperand);
        Ok(match self.verb.as_deref().ok_or(CommandError::MissingVerb)? {
            "check" => Command::Check(Path::new(operand()?)),
            "plan" => Command::Plan(Path::new(operand()?)),
            "get" => Command::Get,
            "put" => Command::Put(Path::new(operand()?)),
            "evacuate" => Command::Evacuate(operand()?),
            "restore" => Command::Restore(operand()?),
            "capacity" => Command::Capacity,
            "store" => Command::Store(Path::new(operand()?)),
            other => return Err(CommandError::UnknownVerb(other.to_owned())),
        })
    }
}

//! The command line.

use lexopt::prelude::*;
use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

pub(crate) const HELP: &str = "violetyoke-scale

violetyoke-scale run AXIS [options]   a system at several sizes of one thing: ingresses, routes, tenants, backends, together
  --sizes A,B,...    the sizes (default: 30,100,300)
  --repeat N         each size so often (default 1)
  --ingresses N      hollow ingresses, where something else is scaled (default 30)
  --out FILE         write the record there as JSON
  --until SECONDS    begin no step after so long (default 900)
  --memory-mb N      begin no step while all processes together have more (default 12000)
  --no-kills         leave out the kills of registries and stores
violetyoke-scale page FILE FOLDER     write the tables of the page anew from the records in the folder
violetyoke-scale table FILE           a record as a table
violetyoke-scale proxy | registry | store   one of the three programs

Exit status: 0 fine, 1 it can't run, 2 the command line is wrong.";

/// What a run scales.
#[derive(Clone, Copy)]
pub(crate) enum Axis {
    Ingresses,
    Routes,
    Tenants,
    Backends,
    Together,
}

impl FromStr for Axis {
    type Err = String;

    fn from_str(name: &str) -> Result<Axis, String> {
        match name {
            "ingresses" => Ok(Axis::Ingresses),
            "routes" => Ok(Axis::Routes),
            "tenants" => Ok(Axis::Tenants),
            "backends" => Ok(Axis::Backends),
            "together" => Ok(Axis::Together),
            other => Err(format!("{other:?}: no such axis; see --help")),
        }
    }
}

impl fmt::Display for Axis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Axis::Ingresses => "ingresses",
            Axis::Routes => "routes",
            Axis::Tenants => "tenants",
            Axis::Backends => "backends",
            Axis::Together => "together",
        })
    }
}

/// Options of `run`.
pub(crate) struct RunOptions {
    pub(crate) axis: Axis,
    pub(crate) sizes: Vec<usize>,
    /// How often each size is played.
    pub(crate) repeat: usize,
    /// Simulated proxies, where something else is scaled.
    pub(crate) simulated_proxies: usize,
    pub(crate) out: Option<PathBuf>,
    /// No step begins after this.
    pub(crate) until: Duration,
    /// No step begins while this process uses more.
    pub(crate) max_memory_mb: f64,
    /// Registries and stores are killed too.
    pub(crate) has_kills: bool,
}

pub(crate) enum Command {
    Run(RunOptions),
    UpdatePage { page: PathBuf, folder: PathBuf },
    Show(PathBuf),
    Help,
}

/// Reads the command line; `command` is its first word.
pub(crate) fn parse(command: Option<&str>, rest: lexopt::Parser) -> Result<Command, lexopt::Error> {
    match command {
        Some("run") => run_options(rest).map(Command::Run),
        Some("page") => match <[PathBuf; 2]>::try_from(paths(rest)?) {
            Ok([page, folder]) => Ok(Command::UpdatePage { page, folder }),
            Err(_) => Err("page takes a file and a folder".into()),
        },
        Some("table") => match <[PathBuf; 1]>::try_from(paths(rest)?) {
            Ok([record]) => Ok(Command::Show(record)),
            Err(_) => Err("table takes a file".into()),
        },
        Some("--help" | "-h") | None => Ok(Command::Help),
        Some(other) => Err(format!("{other}: no such command; see --help").into()),
    }
}

fn paths(mut arguments: lexopt::Parser) -> Result<Vec<PathBuf>, lexopt::Error> {
    let mut paths = Vec::new();
    while let Some(argument) = arguments.next()? {
        match argument {
            Value(path) => paths.push(path.into()),
            other => return Err(other.unexpected()),
        }
    }
    Ok(paths)
}

fn run_options(mut arguments: lexopt::Parser) -> Result<RunOptions, lexopt::Error> {
    let mut axis = None;
    let mut options = RunOptions {
        axis: Axis::Ingresses,
        sizes: vec![30, 100, 300],
        repeat: 1,
        simulated_proxies: 30,
        out: None,
        until: Duration::from_secs(900),
        max_memory_mb: 12_000.0,
        has_kills: true,
    };
    while let Some(argument) = arguments.next()? {
        match argument {
            Value(word) if axis.is_none() => axis = Some(word.string()?),
            Long("sizes") => options.sizes = arguments.value()?.parse_with(parse_sizes)?,
            Long("repeat") => options.repeat = arguments.value()?.parse()?,
            Long("ingresses") => options.simulated_proxies = arguments.value()?.parse()?,
            Long("out") => options.out = Some(arguments.value()?.into()),
            Long("until") => options.until = Duration::from_secs(arguments.value()?.parse()?),
            Long("memory-mb") => options.max_memory_mb = arguments.value()?.parse()?,
            Long("no-kills") => options.has_kills = false,
            other => return Err(other.unexpected()),
        }
    }
    options.axis = axis.unwrap_or_default().parse::<Axis>()?;
    Ok(options)
}

fn parse_sizes(text: &str) -> Result<Vec<usize>, &'static str> {
    text.split(',').map(str::parse).collect::<Result<_, _>>().map_err(|_| "not a list of numbers")
}

/// The words of a command line, but for where the record goes.
pub(crate) fn without_out(arguments: impl Iterator<Item = String>) -> String {
    let mut words: Vec<String> = arguments.collect();
    if let Some(out) = words.iter().position(|word| word == "--out") {
        words.drain(out..(out + 2).min(words.len()));
    }
    words.join(" ")
}

//! `violetyoke-emulator`: emulates complete systems in virtual time.

use lexopt::prelude::*;
use slog::Logger;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use violetyoke_emulator::change_costs;
use violetyoke_emulator::day::Day;
use violetyoke_emulator::day_file;
use violetyoke_emulator::site::Site;
use violetyoke_emulator::trace::{minimize, simulate_and_check, SimulatedDay};

const HELP: &str =
    "violetyoke-emulator VERB [--seed N] [--days N] [--routes N] [--file F] [--per-s N] [--edges N] [--five] [--keyed] [--core] [--log]

Emulates complete systems in virtual time: the production daemons, on days generated from a seed.

  quiet   simulate a day without faults
  day     simulate the day of a seed; print its events, figures and violated rules
  hunt    simulate many days, from the given seed on; minimize each day that violates a rule
  changes measure the cost of configuration changes, and the time between the first and the last ingress that
          installs them; each change adds a tenant or, with --routes N, N routes

  --file F   read the day from a file in the bench's format (TOML)
  --seed N   the (first) seed (default: 1)
  --days N   number of days of a hunt, or of changes (default: 20)
  --routes N number of routes that each change adds
  --per-s N  requests per second of each zone's clients (default: 40)
  --edges N  proxies in each zone (default: 2)
  --five     five core machines, of which two may be lost at the same time
  --keyed    bookings carry operation keys, and clients repeat them
  --core     generate days with one fault of core machines after another
  --log      write the daemons' logs to standard error

Exit status: 0 no rule violated, 1 a rule violated or an error, 2 invalid command line.";

/// The duration of the bench's days (ms).
const BENCH_LENGTH: u64 = 32_000;
/// The maximum number of violations printed for a day.
const MAX_PRINTED: usize = 10;

#[derive(Clone, Copy)]
enum Verb {
    Quiet,
    Day,
    Hunt,
    Changes,
}

impl std::str::FromStr for Verb {
    type Err = String;

    fn from_str(word: &str) -> Result<Verb, String> {
        match word {
            "quiet" => Ok(Verb::Quiet),
            "day" => Ok(Verb::Day),
            "hunt" => Ok(Verb::Hunt),
            "changes" => Ok(Verb::Changes),
            other => Err(format!("{other}: no such verb; see --help")),
        }
    }
}

struct CommandLine {
    verb: Verb,
    seed: u64,
    days: u64,
    routes: usize,
    file: Option<PathBuf>,
    site: Site,
    /// Generates the day of a seed.
    generate: fn(u64, &Site) -> Day,
    log: bool,
}

/// Parses the command line; `None` if help is requested.
fn parse(mut parser: lexopt::Parser) -> Result<Option<CommandLine>, lexopt::Error> {
    let (mut verb, mut seed, mut days, mut log) = (None, 1, 20, false);
    let (mut file, mut core) = (None, false);
    let (mut requests_per_s, mut edges, mut five, mut keyed, mut routes) = (40.0, 2, false, false, 0);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seed") => seed = parser.value()?.parse()?,
            Long("days") => days = parser.value()?.parse()?,
            Long("per-s") => requests_per_s = parser.value()?.parse()?,
            Long("edges") => edges = parser.value()?.parse()?,
            Long("file") => file = Some(PathBuf::from(parser.value()?)),
            Long("routes") => routes = parser.value()?.parse()?,
            Long("five") => five = true,
            Long("core") => core = true,
            Long("keyed") => keyed = true,
            Long("log") => log = true,
            Long("help") | Short('h') => return Ok(None),
            Value(word) if verb.is_none() => verb = Some(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    let site = Site::rooms(edges, requests_per_s);
    let site = if five { site.with_five_cores() } else { site };
    let site = if keyed { site.with_keyed_bookings() } else { site };
    let verb = verb.ok_or("no verb: quiet, day, hunt or changes")?.parse::<Verb>()?;
    let generate = if core { Day::with_core_faults } else { Day::from_seed };
    Ok(Some(CommandLine { verb, seed, days, routes, file, site, generate, log }))
}

fn silent() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}

fn print(simulated: &SimulatedDay) {
    for event in &simulated.day.events {
        println!("  {event}");
    }
    println!("  {}", simulated.figures);
    for violation in simulated.violations.iter().take(MAX_PRINTED) {
        println!("  BROKEN {}: {}", violation.rule, violation.detail);
    }
}

/// Runs a verb; returns whether no rule was violated.
fn run(line: &CommandLine) -> io::Result<bool> {
    let mut site = line.site.clone();
    let day = match (line.verb, &line.file) {
        (Verb::Hunt, _) => return hunt(line),
        (Verb::Changes, _) => {
            println!("{}", change_costs::measure(&line.site, line.days as usize, line.routes, line.seed)?);
            return Ok(true);
        }
        (Verb::Quiet, _) => Day::quiet(line.seed),
        (Verb::Day, None) => (line.generate)(line.seed, &line.site),
        (Verb::Day, Some(file)) => read_day(file, &mut site)?,
    };
    let log =
        if line.log { violetyoke_transport::log::logger("violetyoke-emulator", "world") } else { silent() };
    let simulated = simulate_and_check(&site, day, &log)?;
    print(&simulated);
    Ok(simulated.violations.is_empty())
}

/// Reads a day in the bench's format, and sets the site's request rate to that of the file.
fn read_day(file: &Path, site: &mut Site) -> io::Result<Day> {
    let text = std::fs::read_to_string(file)?;
    let parsed = day_file::parse(&text, site, BENCH_LENGTH);
    let parsed = parsed.map_err(|error| {
        io::Error::new(io::ErrorKind::InvalidData, format!("{}: {error}", file.display()))
    })?;
    for kind in &parsed.unknown_kinds {
        println!("  {kind}: unsupported kind of event, skipped");
    }
    site.requests_per_s = parsed.requests_per_s.unwrap_or(site.requests_per_s);
    Ok(parsed.day)
}

fn hunt(line: &CommandLine) -> io::Result<bool> {
    let mut days_with_violations = 0;
    for seed in line.seed..line.seed + line.days {
        let day = (line.generate)(seed, &line.site);
        let simulated = simulate_and_check(&line.site, day, &silent())?;
        println!("seed {seed}: {} events, {}", simulated.day.events.len(), simulated.figures);
        if !simulated.violations.is_empty() {
            days_with_violations += 1;
            print(&minimize(&line.site, simulated)?);
        }
    }
    println!("{} days, {days_with_violations} with a violated rule", line.days);
    Ok(days_with_violations == 0)
}

fn main() -> ExitCode {
    let line = match parse(lexopt::Parser::from_env()) {
        Ok(Some(line)) => line,
        Ok(None) => {
            println!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("violetyoke-emulator: {error}");
            return ExitCode::from(2);
        }
    };
    match run(&line) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("violetyoke-emulator: {error}");
            ExitCode::FAILURE
        }
    }
}

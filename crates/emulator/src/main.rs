//! `violetyoke-emulator`: whole systems in virtual time.

use lexopt::prelude::*;
use slog::Logger;
use std::path::PathBuf;
use std::process::ExitCode;
use violetyoke_emulator::changes;
use violetyoke_emulator::day::Day;
use violetyoke_emulator::dayfile;
use violetyoke_emulator::site::Site;
use violetyoke_emulator::story::{shorten, tell, Told};

const HELP: &str =
    "violetyoke-emulator VERB [--seed N] [--days N] [--routes N] [--file F] [--per-s N] [--edges N] [--five] [--log]

Whole systems in virtual time: the shipped daemons, and days drawn by a seed.

  quiet   a day without trouble
  day     the day of a seed: its events, what it was worth, which rules it broke
  hunt    many days, from that seed on; one that breaks a rule is shortened to a story
  changes what changes cost and how far apart ingresses take them: tenants that join, or --routes N each

  --file F   a day in the bench's form (TOML) in place of a drawn one
  --seed N   the (first) seed (default: 1)
  --days N   days of a hunt, or changes (default: 20)
  --routes N routes that each change adds
  --per-s N  requests a second of each zone's clients (default: 40)
  --edges N  proxies in each zone (default: 2)
  --five     five core machines, of which two may be lost
  --log      what the daemons write, to standard error

Exit status: 0 no rule broken, 1 a rule broken, 2 the command line is wrong.";

/// How long the bench's days last (ms).
const BENCH_LENGTH: u64 = 32_000;

struct Wanted {
    verb: String,
    seed: u64,
    days: u64,
    routes: usize,
    file: Option<PathBuf>,
    site: Site,
    log: bool,
}

fn wanted() -> Result<Option<Wanted>, lexopt::Error> {
    let (mut verb, mut seed, mut days, mut log) = (None, 1, 20, false);
    let mut file = None;
    let (mut per_s, mut edges, mut five, mut routes) = (40.0, 2, false, 0);
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seed") => seed = parser.value()?.parse()?,
            Long("days") => days = parser.value()?.parse()?,
            Long("per-s") => per_s = parser.value()?.parse()?,
            Long("edges") => edges = parser.value()?.parse()?,
            Long("file") => file = Some(PathBuf::from(parser.value()?)),
            Long("routes") => routes = parser.value()?.parse()?,
            Long("five") => five = true,
            Long("log") => log = true,
            Long("help") | Short('h') => return Ok(None),
            Value(word) if verb.is_none() => verb = Some(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    let site = Site::rooms(edges, per_s);
    let site = if five { site.with_five_cores() } else { site };
    let verb = verb.ok_or("no verb: quiet, day, hunt or changes")?;
    Ok(Some(Wanted { verb, seed, days, routes, file, site, log }))
}

fn print(told: &Told) {
    for event in &told.day.events {
        println!("  {event}");
    }
    println!("  {}", told.figures);
    for broken in told.broken.iter().take(10) {
        println!("  BROKEN {}: {}", broken.rule, broken.what);
    }
}

fn run(wanted: &Wanted) -> std::io::Result<bool> {
    let log = || match wanted.log {
        true => violetyoke_transport::log::logger("violetyoke-emulator", "world"),
        false => Logger::root(slog::Discard, slog::o!()),
    };
    let mut site = wanted.site.clone();
    let day = match wanted.verb.as_str() {
        "day" if wanted.file.is_some() => {
            let path = wanted.file.clone().unwrap_or_default();
            let text = std::fs::read_to_string(&path)?;
            let read = dayfile::read(&text, &site, BENCH_LENGTH);
            let read = read.map_err(|error| std::io::Error::other(format!("{}: {error}", path.display())))?;
            for kind in &read.unknown {
                println!("  {kind}: not known here, left out");
            }
            site.per_s = read.per_s.unwrap_or(site.per_s);
            read.day
        }
        "quiet" => Day::quiet(wanted.seed),
        "day" => Day::drawn(wanted.seed, &wanted.site),
        "changes" => {
            println!("{}", changes::measure(&wanted.site, wanted.days as usize, wanted.routes, wanted.seed)?);
            return Ok(true);
        }
        _ => return hunt(wanted),
    };
    let told = tell(&site, day, log())?;
    print(&told);
    Ok(told.broken.is_empty())
}

fn hunt(wanted: &Wanted) -> std::io::Result<bool> {
    let mut found = 0;
    for seed in wanted.seed..wanted.seed + wanted.days {
        let day = Day::drawn(seed, &wanted.site);
        let told = tell(&wanted.site, day, Logger::root(slog::Discard, slog::o!()))?;
        println!("seed {seed}: {} events, {}", told.day.events.len(), told.figures);
        if !told.broken.is_empty() {
            found += 1;
            print(&shorten(&wanted.site, told)?);
        }
    }
    println!("{} days, {found} with a broken rule", wanted.days);
    Ok(found == 0)
}

fn main() -> ExitCode {
    let wanted = match wanted() {
        Ok(Some(wanted)) if ["quiet", "day", "hunt", "changes"].contains(&wanted.verb.as_str()) => wanted,
        Ok(Some(wanted)) => {
            eprintln!("violetyoke-emulator: {}: no such verb; see --help", wanted.verb);
            return ExitCode::from(2);
        }
        Ok(None) => {
            println!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("violetyoke-emulator: {error}");
            return ExitCode::from(2);
        }
    };
    match run(&wanted) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("violetyoke-emulator: {error}");
            ExitCode::FAILURE
        }
    }
}

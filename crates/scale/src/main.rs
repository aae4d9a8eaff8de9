//! `violetyoke-scale`: what each role spends at several sizes.

use lexopt::prelude::*;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use violetyoke_scale::documents::Tables;
use violetyoke_scale::page;
use violetyoke_scale::probe::descriptor_limit;
use violetyoke_scale::record::{Record, Step};
use violetyoke_scale::run::step;
use violetyoke_scale::stage::Size;

const HELP: &str = "violetyoke-scale

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

/// Real proxies beside the hollow ingresses.
const PROXIES: usize = 2;
/// Threads of hollow ingresses.
const THREADS: usize = 4;
/// Core machines: each ingress has a session with the registry of each.
const REGISTRIES: usize = 3;
/// Descriptors of this process for everything but sessions.
const OTHER_DESCRIPTORS: usize = 200;
/// The tables, where something else is scaled: as at the smaller sites.
const TABLES: Tables = Tables { routes: 60, tenants: 8, backends: 30 };

struct Run {
    axis: String,
    sizes: Vec<usize>,
    repeat: usize,
    ingresses: usize,
    out: Option<PathBuf>,
    until: Duration,
    memory_mb: f64,
    kills: bool,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    let first = arguments.next().map(|word| word.to_string_lossy().into_owned());
    let rest = lexopt::Parser::from_args(arguments);
    let done = match first.as_deref() {
        Some("proxy") => return violetyoke_proxy::daemon::program(rest),
        Some("registry") => return violetyoke_registry::daemon::program(rest),
        Some("store") => return violetyoke_store::daemon::program(rest),
        Some("run") => match command_line(rest) {
            Ok(run) => play(&run),
            Err(error) => return wrong(&error.to_string()),
        },
        Some("page") => match paths(rest) {
            Ok(paths) if paths.len() == 2 => page::write(&paths[0], &paths[1]),
            _ => return wrong("page takes a file and a folder"),
        },
        Some("table") => match paths(rest) {
            Ok(paths) if paths.len() == 1 => Record::read(&paths[0]).map(|record| show(&record)),
            _ => return wrong("table takes a file"),
        },
        Some("--help" | "-h") | None => {
            println!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Some(other) => return wrong(&format!("{other}: no such command; see --help")),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("violetyoke-scale: {error}");
            ExitCode::FAILURE
        }
    }
}

fn wrong(why: &str) -> ExitCode {
    eprintln!("violetyoke-scale: {why}");
    ExitCode::from(2)
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

fn command_line(mut arguments: lexopt::Parser) -> Result<Run, lexopt::Error> {
    let mut run = Run {
        axis: String::new(),
        sizes: vec![30, 100, 300],
        repeat: 1,
        ingresses: 30,
        out: None,
        until: Duration::from_secs(900),
        memory_mb: 12_000.0,
        kills: true,
    };
    while let Some(argument) = arguments.next()? {
        match argument {
            Value(axis) if run.axis.is_empty() => run.axis = axis.string()?,
            Long("sizes") => {
                let text = arguments.value()?.string()?;
                run.sizes = text.split(',').map(str::parse).collect::<Result<_, _>>().map_err(|_| {
                    lexopt::Error::ParsingFailed {
                        value: text.clone(),
                        error: "not a list of numbers".into(),
                    }
                })?;
            }
            Long("repeat") => run.repeat = arguments.value()?.parse()?,
            Long("ingresses") => run.ingresses = arguments.value()?.parse()?,
            Long("out") => run.out = Some(arguments.value()?.into()),
            Long("until") => run.until = Duration::from_secs(arguments.value()?.parse()?),
            Long("memory-mb") => run.memory_mb = arguments.value()?.parse()?,
            Long("no-kills") => run.kills = false,
            other => return Err(other.unexpected()),
        }
    }
    match run.axis.as_str() {
        "ingresses" | "routes" | "tenants" | "backends" | "together" => Ok(run),
        other => Err(format!("{other:?}: no such axis; see --help").into()),
    }
}

/// The system of a size; `together`: everything grows with the ingresses, as it does up to the target.
fn size_of(run: &Run, size: usize) -> Size {
    let (mut ingresses, mut tables) = (run.ingresses, TABLES);
    match run.axis.as_str() {
        "routes" => tables.routes = size,
        "tenants" => tables.tenants = size,
        "backends" => tables.backends = size,
        "together" => {
            ingresses = size;
            tables = Tables { routes: size * 9, tenants: size * 48, backends: size * 77 / 10 };
        }
        _ => ingresses = size,
    }
    Size { ingresses, proxies: PROXIES, tables, threads: THREADS }
}

fn play(run: &Run) -> std::io::Result<()> {
    let program = std::env::current_exe()?;
    let begun = Instant::now();
    let command = command_of(std::env::args().skip(1));
    let mut record = Record {
        axis: run.axis.clone(),
        command: format!("violetyoke-scale {command}"),
        ..Record::default()
    };
    let most = descriptor_limit().saturating_sub(OTHER_DESCRIPTORS) / REGISTRIES;
    'sizes: for size in &run.sizes {
        for repeat in 1..=run.repeat {
            let system = size_of(run, *size);
            record.stopped = stop(run, begun, system.ingresses, most);
            if record.stopped.is_some() {
                break 'sizes;
            }
            let step = step(&program, system, *size, repeat, run.kills)?;
            print(&step);
            record.steps.push(step);
            if let Some(out) = &run.out {
                record.write(out)?;
            }
        }
    }
    show(&record);
    run.out.as_deref().map_or(Ok(()), |out: &Path| record.write(out))
}

/// The command line, but for where the record goes.
fn command_of(arguments: impl Iterator<Item = String>) -> String {
    let mut words: Vec<String> = arguments.collect();
    if let Some(out) = words.iter().position(|word| word == "--out") {
        words.drain(out..(out + 2).min(words.len()));
    }
    words.join(" ")
}

/// Why the next step can't begin.
fn stop(run: &Run, begun: Instant, ingresses: usize, most: usize) -> Option<String> {
    if begun.elapsed() > run.until {
        return Some(format!("the run's {} s were over", run.until.as_secs()));
    }
    if ingresses > most {
        return Some(format!(
            "{ingresses} ingresses need more descriptors than this process has ({most} fit)"
        ));
    }
    let own = violetyoke_scale::probe::usage(std::process::id()).map_or(0.0, |used| used.resident_mb);
    (own > run.memory_mb).then(|| format!("{own:.0} MB in use"))
}

fn print(step: &Step) {
    println!("size {} repeat {}", step.size, step.repeat);
    for (name, value) in &step.figures {
        println!("  {name:<40} {value:>14.2}");
    }
    for failed in &step.failed {
        println!("  FAILED {failed}");
    }
}

fn show(record: &Record) {
    println!("{}", page::record_table(record));
    if let Some(why) = &record.stopped {
        println!("stopped: {why}");
    }
}

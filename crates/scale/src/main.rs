//! `violetyoke-scale`: what each role costs at several sizes.

mod command_line;

use command_line::{Axis, Command, RunOptions, HELP};
use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use violetyoke_scale::documents::TableSizes;
use violetyoke_scale::page;
use violetyoke_scale::phases::{play, StepPlan};
use violetyoke_scale::record::{Record, Step};
use violetyoke_scale::testbed::Size;
use violetyoke_scale::usage::{descriptor_limit, usage};

/// Real proxies beside the simulated ones.
const PROXIES: usize = 2;
/// Threads of simulated proxies.
const THREADS: usize = 4;
/// Core machines: each proxy has a session with the registry of each.
const REGISTRIES: usize = 3;
/// Descriptors of this process for everything but sessions.
const OTHER_DESCRIPTORS: usize = 200;
/// The tables, where something else is scaled: as at the smaller sites.
const TABLES: TableSizes = TableSizes { routes: 60, tenants: 8, backends: 30 };

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    let first = arguments.next().map(|word| word.to_string_lossy().into_owned());
    let rest = lexopt::Parser::from_args(arguments);
    match first.as_deref() {
        Some("proxy") => return violetyoke_proxy::daemon::program(rest),
        Some("registry") => return violetyoke_registry::daemon::program(rest),
        Some("store") => return violetyoke_store::daemon::program(rest),
        _ => {}
    }
    let result = match command_line::parse(first.as_deref(), rest) {
        Ok(Command::Run(options)) => run(&options),
        Ok(Command::UpdatePage { page, folder }) => page::update(&page, &folder),
        Ok(Command::Show(record)) => Record::read(&record).map(|record| print_record(&record)),
        Ok(Command::Help) => {
            println!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("violetyoke-scale: {error}");
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("violetyoke-scale: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The system of a size.
fn size_of(options: &RunOptions, size: usize) -> Size {
    let (mut simulated_proxies, mut tables) = (options.simulated_proxies, TABLES);
    match options.axis {
        Axis::Ingresses => simulated_proxies = size,
        Axis::Routes => tables.routes = size,
        Axis::Tenants => tables.tenants = size,
        Axis::Backends => tables.backends = size,
        // Everything grows with the proxies, as it does up to the target.
        Axis::Together => {
            simulated_proxies = size;
            tables = TableSizes { routes: size * 9, tenants: size * 48, backends: size * 77 / 10 };
        }
    }
    Size { simulated_proxies, proxies: PROXIES, tables, threads: THREADS }
}

fn run(options: &RunOptions) -> io::Result<()> {
    let program = std::env::current_exe()?;
    let begun = Instant::now();
    let mut record = Record {
        axis: options.axis.to_string(),
        command: format!("violetyoke-scale {}", command_line::without_out(std::env::args().skip(1))),
        ..Record::default()
    };
    let max_proxies = descriptor_limit().saturating_sub(OTHER_DESCRIPTORS) / REGISTRIES;
    let repeats =
        options.sizes.iter().flat_map(|size| (1..=options.repeat).map(move |repeat| (*size, repeat)));
    for (scaled, repeat) in repeats {
        let size = size_of(options, scaled);
        record.stopped = reason_to_stop(options, begun.elapsed(), size.simulated_proxies, max_proxies);
        if record.stopped.is_some() {
            break;
        }
        let plan = StepPlan { size, scaled, repeat, has_kills: options.has_kills };
        let step = play(&program, &plan);
        print_step(&step);
        record.steps.push(step);
        write_record(options.out.as_deref(), &record)?;
    }
    print_record(&record);
    write_record(options.out.as_deref(), &record)
}

fn write_record(out: Option<&Path>, record: &Record) -> io::Result<()> {
    out.map_or(Ok(()), |out| record.write(out))
}

/// Why the next step can't begin.
fn reason_to_stop(
    options: &RunOptions,
    elapsed: Duration,
    proxies: usize,
    max_proxies: usize,
) -> Option<String> {
    if elapsed > options.until {
        return Some(format!("the run's {} s were over", options.until.as_secs()));
    }
    if proxies > max_proxies {
        return Some(format!(
            "{proxies} ingresses need more descriptors than this process has ({max_proxies} fit)"
        ));
    }
    let own_mb = usage(std::process::id()).map_or(0.0, |used| used.resident_mb);
    (own_mb > options.max_memory_mb).then(|| format!("{own_mb:.0} MB in use"))
}

fn print_step(step: &Step) {
    println!("size {} repeat {}", step.size, step.repeat);
    for (name, value) in &step.figures {
        println!("  {name:<40} {value:>14.2}");
    }
    for failure in &step.failed {
        println!("  FAILED {failure}");
    }
}

fn print_record(record: &Record) {
    println!("{}", page::record_table(record));
    if let Some(why) = &record.stopped {
        println!("stopped: {why}");
    }
}

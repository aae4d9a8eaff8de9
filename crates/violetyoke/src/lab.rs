//! `violetyoke lab`: experiments on an emulated fleet.

use clap::{Args, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use violetyoke_lab::run::{self, Report};
use violetyoke_lab::{compare, experiment, table};

const INVALID_FILE: u8 = 2;

#[derive(Args)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Checks the file of an experiment: exits with 0 if it is valid, otherwise with 2 after all faults.
    Check { file: PathBuf },
    /// Runs an experiment with each variant and seed, compares it with an oracle and random choice, and prints
    /// a table.
    Run {
        file: PathBuf,
        /// Writes all results to this file.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Number of threads [default: all cores].
        #[arg(long)]
        threads: Option<usize>,
        /// Prints the losses by the reasons of the decision module.
        #[arg(long)]
        losses: bool,
    },
    /// Compares two settings (files of experiments) or two builds (results of `run --json`) by variant and
    /// seed.
    Compare {
        before: PathBuf,
        after: PathBuf,
        #[arg(long)]
        threads: Option<usize>,
    },
}

pub fn run(arguments: Arguments) -> ExitCode {
    let result = match arguments.command {
        Command::Check { file } => {
            read(&file).map(|(_, variants)| println!("{}: {} variants", file.display(), variants.len()))
        }
        Command::Run { file, json, threads, losses } => run_experiment(&file, threads).and_then(|report| {
            print!("{}", table::results(&report));
            if losses {
                print!("{}", table::losses(&report));
            }
            json.map_or(Ok(()), |path| write(&path, &report))
        }),
        Command::Compare { before, after, threads } => compare(&before, &after, threads),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err((code, text)) => {
            eprint!("{text}");
            ExitCode::from(code)
        }
    }
}

type Failure = (u8, String);

fn failure(text: impl std::fmt::Display) -> Failure {
    (1, format!("violetyoke lab: {text}\n"))
}

fn read(file: &Path) -> Result<(experiment::Experiment, Vec<experiment::Variant>), Failure> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| failure(format!("{name}: {error}")))?;
    let invalid_file = |errors: violetyoke_config::Errors| (INVALID_FILE, errors.format_with_file(&name));
    let read = experiment::parse(&text).map_err(invalid_file)?;
    let variants = experiment::variants(&text, &read).map_err(invalid_file)?;
    Ok((read, variants))
}

fn run_experiment(file: &Path, threads: Option<usize>) -> Result<Report, Failure> {
    let (experiment, variants) = read(file)?;
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads.unwrap_or(0)).build().map_err(failure)?;
    let run_count = variants.iter().map(|variant| variant.experiment.seeds.len() as u64).sum();
    let bar = ProgressBar::new(run_count);
    let style = "{elapsed_precise} [{bar:40}] {pos}/{len} runs";
    bar.set_style(ProgressStyle::with_template(style).map_err(failure)?.progress_chars("=> "));
    bar.enable_steady_tick(Duration::from_millis(200));
    let runs = pool.install(|| run::run_all(&variants, || bar.inc(1)));
    bar.finish_and_clear();
    Ok(run::report(&experiment, runs))
}

fn write(path: &Path, report: &Report) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(report).map_err(failure)?;
    std::fs::write(path, text + "\n").map_err(|error| failure(format!("{}: {error}", path.display())))
}

/// The results of a file: those of an earlier run, or of a new run of its experiment.
fn load_figures(file: &Path, threads: Option<usize>) -> Result<Vec<compare::Figures>, Failure> {
    if file.extension().is_some_and(|ending| ending == "json") {
        let text = std::fs::read(file).map_err(|error| failure(format!("{}: {error}", file.display())))?;
        return compare::parse_report(&text).map_err(|error| failure(format!("{}: {error}", file.display())));
    }
    run_experiment(file, threads).map(|report| report.runs.iter().map(compare::Figures::from).collect())
}

fn compare(before: &Path, after: &Path, threads: Option<usize>) -> Result<(), Failure> {
    let (before, after) = (load_figures(before, threads)?, load_figures(after, threads)?);
    let table = table::comparison(&before, &after);
    print!("{}", table.ok_or_else(|| failure("the two have no variant and seed in common"))?);
    Ok(())
}

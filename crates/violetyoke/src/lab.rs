//! `violetyoke lab`: experiments on an emulated fleet.

use clap::{Args, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use violetyoke_lab::run::{self, Report};
use violetyoke_lab::{compare, experiment, table};

const BAD_FILE: u8 = 2;

#[derive(Args)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Checks an experiment's file: exits 0 if it is good, else 2 with all that is wrong with it.
    Check { file: PathBuf },
    /// Plays an experiment, every variant and seed beside an oracle and blind chance, and prints a table.
    Run {
        file: PathBuf,
        /// Writes all figures there.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Threads to play on; all cores unless told.
        #[arg(long)]
        threads: Option<usize>,
        /// The account of the losses, by the module's own reasons.
        #[arg(long)]
        losses: bool,
    },
    /// Two settings (experiments' files) or two builds (what `run --json` wrote), paired by variant and seed.
    Compare {
        before: PathBuf,
        after: PathBuf,
        #[arg(long)]
        threads: Option<usize>,
    },
}

pub fn run(arguments: Arguments) -> ExitCode {
    let done = match arguments.command {
        Command::Check { file } => {
            read(&file).map(|(_, variants)| println!("{}: {} variants", file.display(), variants.len()))
        }
        Command::Run { file, json, threads, losses } => play(&file, threads).and_then(|report| {
            print!("{}", table::results(&report));
            if losses {
                print!("{}", table::losses(&report));
            }
            json.map_or(Ok(()), |path| write(&path, &report))
        }),
        Command::Compare { before, after, threads } => compare(&before, &after, threads),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err((code, text)) => {
            eprint!("{text}");
            ExitCode::from(code)
        }
    }
}

type Failed = (u8, String);

fn failed(text: impl std::fmt::Display) -> Failed {
    (1, format!("violetyoke lab: {text}\n"))
}

fn read(file: &Path) -> Result<(experiment::Experiment, Vec<experiment::Variant>), Failed> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|error| failed(format!("{name}: {error}")))?;
    let bad = |errors: violetyoke_config::Errors| (BAD_FILE, errors.format_with_file(&name));
    let read = experiment::parse(&text).map_err(bad)?;
    let variants = experiment::variants(&text, &read).map_err(bad)?;
    Ok((read, variants))
}

fn play(file: &Path, threads: Option<usize>) -> Result<Report, Failed> {
    let (experiment, variants) = read(file)?;
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads.unwrap_or(0)).build().map_err(failed)?;
    let many = variants.iter().map(|variant| variant.experiment.seeds.len() as u64).sum();
    let bar = ProgressBar::new(many);
    let style = "{elapsed_precise} [{bar:40}] {pos}/{len} runs";
    bar.set_style(ProgressStyle::with_template(style).map_err(failed)?.progress_chars("=> "));
    bar.enable_steady_tick(Duration::from_millis(200));
    let runs = pool.install(|| run::run_all(&variants, || bar.inc(1)));
    bar.finish_and_clear();
    Ok(run::report(&experiment, runs))
}

fn write(path: &Path, report: &Report) -> Result<(), Failed> {
    let text = serde_json::to_string_pretty(report).map_err(failed)?;
    std::fs::write(path, text + "\n").map_err(|error| failed(format!("{}: {error}", path.display())))
}

/// The figures of a file: those of an earlier run, or of one made now.
fn figures(file: &Path, threads: Option<usize>) -> Result<Vec<compare::Figures>, Failed> {
    if file.extension().is_some_and(|ending| ending == "json") {
        let text = std::fs::read(file).map_err(|error| failed(format!("{}: {error}", file.display())))?;
        return compare::parse_report(&text).map_err(|error| failed(format!("{}: {error}", file.display())));
    }
    play(file, threads).map(|report| report.runs.iter().map(compare::Figures::from).collect())
}

fn compare(before: &Path, after: &Path, threads: Option<usize>) -> Result<(), Failed> {
    let (before, after) = (figures(before, threads)?, figures(after, threads)?);
    let table = table::comparison(&before, &after);
    print!("{}", table.ok_or_else(|| failed("the two have no variant and seed in common"))?);
    Ok(())
}

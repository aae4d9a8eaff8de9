//! `cargo xtask prove NAME` runs a subsystem's proof: it prints its figures as `key=value` and exits 1 when one
//! falls short. `cargo xtask measure NAME` prints figures that have no verdict.

#![allow(
    clippy::let_underscore_must_use,
    clippy::needless_pass_by_value,
    clippy::redundant_closure_for_method_calls,
    clippy::too_many_lines,
    clippy::unused_self,
    unreachable_pub,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

mod account;
mod draw_days;
mod figures;
mod grpc;
mod load;
mod measure;
mod measure_lab;
mod measure_owners;
mod measure_questions;
mod measure_structure;
mod measure_tenants;
mod process;
mod prove_consult;
mod prove_lab;
mod prove_owners;
mod prove_ratelimit;
mod prove_routes;
mod prove_system_upgrade;
mod prove_tenants;
mod prove_upgrade;
mod replay;
mod tenants;

use clap::{Parser, Subcommand, ValueEnum};
use figures::Figures;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Runs a proof.
    Prove {
        name: Proof,
        /// The long form; CI runs the short one.
        #[arg(long)]
        long: bool,
        /// Takes the defence out: the proof is to fail.
        #[arg(long)]
        without_defence: bool,
        /// Of `owners`: what is taken out.
        #[arg(long)]
        without: Option<prove_owners::Without>,
        /// Of `owners --long`: what the faults are drawn from.
        #[arg(long)]
        seed: Option<u64>,
        /// Of `system-upgrade`: the folder with the programs of the build before.
        #[arg(long, required_if_eq("name", "system-upgrade"))]
        before: Option<PathBuf>,
        /// Of `system-upgrade`: the folder with those of the other build; without it, this tree is built.
        #[arg(long)]
        after: Option<PathBuf>,
    },
    /// Prints what a tier's logs say was lost, by which rule, where and when.
    Account {
        /// A log, or a folder of logs, of ingresses that ran with VIOLETYOKE_ACCOUNT set.
        logs: PathBuf,
        /// Seconds that are told of together.
        #[arg(long, default_value_t = 5)]
        span: u64,
    },
    /// Plays the same generated events to this module and to an earlier commit's; exits 1 where they act otherwise.
    Replay {
        /// The earlier commit.
        base: String,
        /// Streams played, each from a seed of its own.
        #[arg(long, default_value_t = 40)]
        seeds: u64,
        /// Ticks of each.
        #[arg(long, default_value_t = 5000)]
        steps: u64,
    },
    /// Writes days of trouble for the bench, drawn from every kind that may come.
    DrawDays {
        /// Where a file is written for each day.
        folder: PathBuf,
        /// The seed of the first; the others follow it.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 10)]
        count: u64,
        /// With the kinds that only the grown deployments know.
        #[arg(long)]
        grown: bool,
        /// Only kinds that strike the control side.
        #[arg(long)]
        control_only: bool,
        /// Troubles of a day, at most.
        #[arg(long, default_value_t = 8)]
        most_troubles: u64,
    },
    /// Writes the tables of `docs/CAPACITY.md` from the sweeps in `journal/`.
    Capacity,
    /// Prints figures.
    Measure {
        name: Measure,
        /// The commit that the platform's form is compared with.
        #[arg(long, default_value = "b4af54e")]
        base: String,
        /// Of `structure`: the working copy that is read.
        #[arg(long, default_value = ".")]
        tree: PathBuf,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Proof {
    /// One pool's rush and the failure of all its nodes leave another pool's service and quotas whole.
    Routes,
    /// Questions and requests of the same accounts over three ingresses keep the ceiling; tries count once.
    Ratelimit,
    /// An outside rate limit server that fails holds up nobody, is spared, and its counts are used once.
    Consult,
    /// One tenant's rush leaves another's bookings and quotas whole.
    Tenants,
    /// The laboratory's emulator says what the real program does on loopback.
    Lab,
    /// One owner at a time for the fleet's work, with faults between real processes.
    Owners,
    /// Processes take over from one another under load, with nodes out by hand: nothing is lost or forgotten.
    Upgrade,
    /// A whole system goes from one build to another and back under load: no order is lost, requests are served.
    SystemUpgrade,
}

#[derive(Clone, Copy, ValueEnum)]
enum Measure {
    /// Memory of a service of 1, 10 and 100 pools.
    Pools,
    /// CPU a request and memory of the platform's form, beside an earlier commit's.
    Platform,
    /// CPU and time of a rate limit question, beside a bare tonic server.
    Questions,
    /// An ingress of 10 and of 10,000 tenants, side by side.
    Tenants,
    /// What leases cost at 10, 100 and 300 holders, in virtual time.
    Owners,
    /// Memory of an emulated fleet, by ingresses and emulated time.
    Lab,
    /// The shape of each crate's sources: circles, long files and functions, documentation, lints; as Markdown.
    Structure,
}

fn main() -> ExitCode {
    let result = match Cli::parse().what {
        // A table has no verdict.
        What::Account { logs, span } => return ended(account::run(&logs, span).map(|()| true)),
        What::Replay { base, seeds, steps } => return ended(replay::run(&base, seeds, steps)),
        What::DrawDays { folder, seed, count, grown, control_only, most_troubles } => {
            let request =
                draw_days::Request { folder, first_seed: seed, count, grown, control_only, most_troubles };
            return ended(draw_days::run(&request));
        }
        What::Capacity => {
            let updated = xtask::capacity::update(Path::new("docs/CAPACITY.md"), Path::new("journal"));
            return ended(updated.map(|()| true).map_err(|error| error.to_string().into()));
        }
        What::Prove { name: Proof::Routes, long, without_defence, .. } => {
            prove_routes::run(long, !without_defence)
        }
        What::Prove { name: Proof::Ratelimit, long, without_defence, .. } => {
            prove_ratelimit::run(long, !without_defence)
        }
        What::Prove { name: Proof::Consult, long, without_defence, .. } => {
            prove_consult::run(long, !without_defence)
        }
        What::Prove { name: Proof::Tenants, long, without_defence, .. } => {
            prove_tenants::run(long, !without_defence)
        }
        What::Prove { name: Proof::Lab, long, without_defence, .. } => prove_lab::run(long, !without_defence),
        What::Prove { name: Proof::Owners, long, without, seed, .. } => {
            prove_owners::run(long, seed, without)
        }
        What::Prove { name: Proof::Upgrade, long, without_defence, .. } => {
            prove_upgrade::run(long, !without_defence)
        }
        What::Measure { name: Measure::Structure, tree, .. } => {
            return ended(measure_structure::run(&tree).map(|()| true))
        }
        What::Prove { name: Proof::SystemUpgrade, before, after, .. } => {
            prove_system_upgrade::run(&before.unwrap_or_default(), after.as_deref())
        }
        What::Measure { name: Measure::Tenants, .. } => measure_tenants::run(),
        What::Measure { name: Measure::Owners, .. } => measure_owners::run(),
        What::Measure { name: Measure::Lab, .. } => measure_lab::run(),
        What::Measure { name: Measure::Questions, .. } => measure_questions::run(),
        What::Measure { name: Measure::Pools, .. } => measure::pools(),
        What::Measure { name: Measure::Platform, base, .. } => measure::platform(&base),
    };
    ended(result.map(Figures::verdict))
}

fn ended(result: process::Result<bool>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("xtask: {error}");
            ExitCode::FAILURE
        }
    }
}

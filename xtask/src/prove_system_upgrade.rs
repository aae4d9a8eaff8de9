//! `prove system-upgrade`: a whole system of real processes goes from one build to another and back, one process at a
//! time, with orders and requests going on. On every machine store and registry are for a while of different builds.

use crate::figures::Figures;
use crate::process::{build_system, Result};
use std::path::Path;
use violetyoke_local::upgrade::{Rehearsal, StepReport};
use violetyoke_local::{Daemon, ProcessRef, Programs};
use Build::{After, Before};

/// One process that is ended, and the build that is started in its place.
type Step = (ProcessRef, Build);

#[derive(Clone, Copy)]
enum Build {
    Before,
    After,
}

/// Each process goes to the other build. Some are started once more on their own: a process that starts is sent complete
/// states, and does so here while all processes that can send it one are of the other build.
const UPGRADE: [Step; 10] = [
    // A proxy among registries of the build before, and a registry among such stores.
    (ProcessRef::Proxy(0), After),
    (ProcessRef::Registry(0), After),
    (ProcessRef::Store(0), After),
    (ProcessRef::Store(1), After),
    (ProcessRef::Store(2), After),
    // A registry of the build before among stores of the other.
    (ProcessRef::Registry(1), Before),
    (ProcessRef::Registry(1), After),
    (ProcessRef::Registry(2), After),
    // A proxy of the build before among registries of the other.
    (ProcessRef::Proxy(1), Before),
    (ProcessRef::Proxy(1), After),
];

/// The way back, machine by machine.
const ROLLBACK: [Step; 8] = [
    (ProcessRef::Store(0), Before),
    (ProcessRef::Registry(0), Before),
    (ProcessRef::Proxy(0), Before),
    (ProcessRef::Registry(1), Before),
    (ProcessRef::Store(1), Before),
    (ProcessRef::Store(2), Before),
    (ProcessRef::Registry(2), Before),
    (ProcessRef::Proxy(1), Before),
];

/// `before`: the folder with the programs of the build before. `after`: that of the other build; none: this tree's,
/// which is built as `deploy/system.toml` says.
pub fn run(before: &Path, after: Option<&Path>) -> Result<Figures> {
    let after = match after {
        Some(folder) => folder.to_owned(),
        None => build_system()?,
    };
    let (before, after) = (Programs::Folder(before.to_owned()), Programs::Folder(after));
    for programs in [&before, &after] {
        for daemon in [Daemon::Store, Daemon::Registry, Daemon::Proxy] {
            let path = programs.path(daemon);
            if !path.is_file() {
                return Err(format!("there is no program {}", path.display()).into());
            }
        }
    }
    let mut figures = Figures::default();
    let mut rehearsal = Rehearsal::start(&before)?;
    println!("{}", StepReport::HEADER);
    let mut faults = 0;
    for (process_ref, build) in UPGRADE.into_iter().chain(ROLLBACK) {
        let (programs, name) = match build {
            Before => (&before, "before"),
            After => (&after, "after"),
        };
        let step = rehearsal.step(process_ref, programs, format!("{process_ref} {name}"))?;
        println!("{step}");
        for fault in step.faults() {
            println!("  fault: {fault}");
            faults += 1;
        }
    }
    let report = rehearsal.finish();
    figures.tell("orders_acknowledged", report.acknowledged);
    figures.tell("reads", report.reads);
    figures.tell("searches_served", report.searches);
    figures.tell("bookings", report.bookings);
    figures.tell("bookings_confirmed", report.bookings_confirmed);
    figures.at_most("order_or_read_faults", report.order_faults.len() as f64, 0.0);
    figures.at_most("searches_lost", report.searches_lost as f64, 0.0);
    figures.at_most("bookings_run_twice", report.bookings_repeated as f64, 0.0);
    figures.at_most("bookings_confirmed_that_never_ran", report.bookings_missing as f64, 0.0);
    figures.at_most("limited_served", report.limited_served as f64, report.limited_allowed);
    figures.at_most("faults_of_steps", f64::from(faults), 0.0);
    Ok(figures)
}

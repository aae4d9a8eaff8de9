//! `prove owners`: a control plane, six ingresses and a sink as processes, faults between them, and what the sink has
//! noted judged: one owner at a time, every span of the report once and in order, no shard left without an owner.

mod calm;
mod plan;

use crate::figures::{quantile, Figures};
use crate::process::{build_for_proof, build_standin, build_with_test_faults, Result};
use calm::{calm, load, serve_all, times};
use plan::plan;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use violetyoke_ownership::ShardId;
use violetyoke_rig::fleet::Fleet;
use violetyoke_rig::history;
use violetyoke_rig::injection::{DutySettings, FaultInjector};
use violetyoke_rig::schedule::{draw, Fault};

const INGRESSES: usize = 6;
const LENGTH: Duration = Duration::from_millis(2_000);
const SPAN: Duration = Duration::from_millis(500);
const REPORT_SHARDS: u32 = 3;
const PROBE_SHARDS: u32 = 3;
const TENANTS: [&str; 4] = ["acme", "bern", "como", "dorf"];
/// Beyond a length, how long a shard may be nobody's.
const BEYOND: Duration = Duration::from_secs(1);
const CALM: Duration = Duration::from_secs(4);
const PACE: Duration = Duration::from_millis(20);

/// What is taken out, to see that it is found out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Without {
    /// The receiver's check.
    Fence,
    /// Counting from before the call is sent.
    Sending,
    /// Renewal by the work's own progress.
    Progress,
}

/// The short form's faults: each kind once, in an order in which none hides another, and late answers to the owner
/// of each shard that is probed.
fn each_kind() -> Vec<Fault> {
    vec![
        Fault::StopInAct { shard: 0 },
        Fault::LateAnswers { shard: 0 },
        Fault::HeldAct { shard: 1 },
        Fault::LateAnswers { shard: 1 },
        Fault::Hang { shard: 2 },
        Fault::HeldWrite { shard: 0 },
        Fault::SilentUp { shard: 1 },
        Fault::SilentDown { shard: 2 },
        Fault::LateAnswers { shard: 2 },
        Fault::Slow { shard: 0 },
        Fault::Kill { shard: 1 },
        Fault::Drain { shard: 2 },
        Fault::HandOver { shard: 0, to: 2 },
        Fault::KillBoth { shard: 1 },
        Fault::Clock { by: 1_500 },
        Fault::Clock { by: -1_500 },
        Fault::AllCut,
        // The last: what was told since the backup is told no more.
        Fault::PutBack,
    ]
}

fn kind(fault: Fault) -> String {
    let text = format!("{fault:?}");
    text.split(' ').next().unwrap_or_default().to_lowercase()
}

fn leases() -> Vec<ShardId> {
    let of = |duty: &'static str, shards| (0..shards).map(move |shard| ShardId::new(duty, shard));
    of("report", REPORT_SHARDS).chain(of("probe", PROBE_SHARDS)).collect()
}

pub fn run(long: bool, seed: Option<u64>, without: Option<Without>) -> Result<Figures> {
    let program = match without {
        Some(Without::Sending | Without::Progress) => build_with_test_faults()?,
        _ => build_for_proof()?,
    };
    let standin = build_standin()?;
    let mut figures = Figures::default();
    let plain = {
        let fleet = Fleet::start(&plan(&program, &standin, &[], without))?;
        serve_all(&fleet)?;
        times(&load(&fleet, CALM))
    };
    let mut fleet = Fleet::start(&plan(&program, &standin, &["report", "probe"], without))?;
    serve_all(&fleet)?;
    let everywhere = |history: &[violetyoke_standin::sink::ReceivedEffect]| {
        leases().iter().all(|lease| history::newest_effect(history, lease).is_some())
    };
    if !fleet.wait_for_history(Duration::from_secs(20), everywhere) {
        return Err("not every shard has got an owner".into());
    }
    calm(&mut fleet, &mut figures, plain, long)?;
    let seed = seed.unwrap_or_else(|| if long { Instant::now().elapsed().subsec_nanos().into() } else { 1 });
    let faults = if long { draw(seed, 110) } else { each_kind() };
    if long {
        figures.tell("seed", seed);
    }
    let end = Instant::now() + Duration::from_secs(600);
    let (mut landed, mut provoked) = (BTreeMap::<String, (u32, u32)>::new(), BTreeSet::new());
    let (mut late, mut never, mut unrefused, mut put_back) = (Vec::new(), 0, 0, None);
    let (mut gaps, mut slow) = (Vec::new(), vec![0.0]);
    for fault in faults {
        if Instant::now() > end {
            break;
        }
        let before = fleet.history().last().map_or(0, |noted| noted.at_us);
        if fault == Fault::PutBack && put_back.is_none() {
            put_back = Some(fleet.history().len());
        }
        let settings = DutySettings {
            lease: LENGTH,
            span: SPAN,
            report_shards: REPORT_SHARDS,
            probe_shards: PROBE_SHARDS,
        };
        let outcome = FaultInjector { fleet: &mut fleet, settings }.inject(fault)?;
        let reached = !matches!(fault, Fault::KillBoth { .. } | Fault::PutBack | Fault::AllCut);
        let took = outcome.recovered_after.map(|time| time.as_secs_f64());
        println!("fault={fault:?} {outcome:?}");
        let counts = landed.entry(kind(fault)).or_default();
        counts.0 += 1;
        counts.1 += u32::from(outcome.hit && outcome.not_injected.is_none());
        provoked.extend(outcome.delayed_epochs);
        unrefused += u32::from(outcome.refused == Some(false));
        let counted = !matches!(fault, Fault::Clock { .. } | Fault::Slow { .. } | Fault::SilentDown { .. });
        match took {
            Some(took) if counted => late.push(took),
            None if counted && outcome.not_injected.is_none() => never += 1,
            _ => {}
        }
        if reached {
            let history = fleet.history();
            let after = history.last().map_or(before, |noted| noted.at_us);
            let probes = leases().into_iter().filter(|lease| lease.role == "probe");
            let rests =
                probes.map(|lease| history::longest_gap_us(history, &lease, before, after) as f64 / 1e6);
            let most = rests.fold(0.0, f64::max);
            println!("probes_rested_s={most:.3}");
            match fault {
                Fault::Slow { .. } => slow.push(most),
                _ => gaps.push(most),
            }
        }
    }
    for (kind, (caused, landed)) in &landed {
        figures.tell(&format!("faults_{kind}"), format!("{caused} landed={landed}"));
    }
    let missed: u32 = landed.values().map(|(caused, landed)| caused - landed).sum();
    let all: u32 = landed.values().map(|(caused, _)| caused).sum();
    figures.at_most("faults_that_missed", f64::from(missed), f64::from(all) * 0.1);
    let within = (LENGTH + BEYOND).as_secs_f64();
    for part in [0.5, 0.9] {
        figures.tell(&format!("work_went_on_after_s_p{:.0}", part * 100.0), quantile(&mut late, part));
    }
    figures.at_most("work_went_on_after_s_most", quantile(&mut late, 1.0), within + SPAN.as_secs_f64());
    figures.at_most("work_never_went_on", f64::from(never), 0.0);
    figures.at_most("probes_rested_s_most", quantile(&mut gaps, 1.0), within);
    // That its owner has given up takes as long to be heard of as the link is slow.
    let there_and_back = LENGTH.mul_f64(0.9).as_secs_f64();
    figures.at_most("probes_rested_slow_s_most", quantile(&mut slow, 1.0), within + there_and_back);
    figures.at_most("kept_back_and_not_refused", f64::from(unrefused), 0.0);
    let history = fleet.history().to_vec();
    figures.tell("effects", history.len());
    let accepted = history::accepted_after_newer(&history);
    accepted.iter().take(5).for_each(|noted| println!("older_after_newer={noted:?}"));
    figures.at_most("older_after_newer", accepted.len() as f64, 0.0);
    let refused = history::unexpected_refusals(&history, &provoked);
    refused.iter().take(5).for_each(|noted| println!("refused_unprovoked={noted:?}"));
    // One may be: a probe whose answer took longer than it was waited for may still be on its way.
    figures.at_most("refused_unprovoked", refused.len() as f64, 1.0);
    figures.at_most("epochs_of_two_holders", history::epochs_with_two_owners(&history).len() as f64, 0.0);
    let wrong = history::spans_out_of_order(&history);
    wrong.iter().take(5).for_each(|wrong| println!("out_of_order={wrong}"));
    figures.at_most("spans_out_of_order", wrong.len() as f64, 0.0);
    let changed = history::changed_spans(&history[..put_back.unwrap_or(history.len())]);
    changed.iter().take(5).for_each(|changed| println!("changed={changed}"));
    figures.at_most("spans_changed", changed.len() as f64, 0.0);
    Ok(figures)
}

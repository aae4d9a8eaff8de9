//! Reports and comparisons as text, in tables of Markdown.

use crate::compare::{paired, Figures};
use crate::outcome::{Amount, Calls, Loss, Outcome, Shares};
use crate::run::{Report, Run};
use std::collections::{BTreeMap, BTreeSet};

/// One row for each run, and the mean place of each variant.
pub fn results(report: &Report) -> String {
    let mut text = format!(
        "{}: {} ingresses, {} nodes, {} s\n\n",
        report.experiment, report.ingresses, report.nodes, report.seconds
    );
    text += "| variant | seed | place | net | oracle | random | served | refused | failed | beyond | handshakes/s \
             | calls/s | changed | messages/s | open | p99 ms | rules |\n";
    text += "| --- | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --- |\n";
    let counted = report.runs.iter().map(|run| run.module.seconds.len().max(1) as f64);
    for (run, seconds) in report.runs.iter().zip(counted) {
        let (own, calls) = (&run.module, &run.module.calls);
        let Shares { served, refused, failed } = own.shares();
        let all_calls = calls.decide + calls.give_back + calls.read;
        text += &format!("| {} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {served:.3} | {refused:.3} | {failed:.3} | {:.3} | {:.0} \
             | {:.0} | {:.2} | {:.0} | {:.0} | {:.0} | {} |\n",
            run.variant,
            run.seed,
            run.place,
            own.net_share(),
            run.oracle.net_share(),
            run.random.net_share(),
            own.beyond_units / own.units.max(1.0),
            own.handshakes as f64 / seconds,
            all_calls as f64 / seconds,
            calls.changed as f64 / all_calls.max(1) as f64,
            own.messages as f64 / seconds,
            own.connections,
            own.answer_ms[2],
            rules(own),
        );
    }
    text.push('\n');
    for (variant, runs) in by_variant(report) {
        let place = mean(runs.iter().map(|run| run.place));
        text += &format!("mean place{}{variant}: {place:.3}\n", if variant.is_empty() { "" } else { " " });
    }
    text
}

/// The runs of each variant, in their order.
fn by_variant(report: &Report) -> Vec<(&str, Vec<&Run>)> {
    let mut groups: Vec<(&str, Vec<&Run>)> = Vec::new();
    for run in &report.runs {
        match groups.iter_mut().find(|(variant, _)| *variant == run.variant) {
            Some((_, runs)) => runs.push(run),
            None => groups.push((&run.variant, vec![run])),
        }
    }
    groups
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, many) = values.fold((0.0, 0), |(sum, many), value| (sum + value, many + 1));
    sum / f64::from(many.max(1))
}

/// The violated rules, or that all were kept.
fn rules(outcome: &Outcome) -> String {
    let violations = &outcome.violations;
    if violations.is_none() {
        return if outcome.defects > 0 {
            format!("kept, {} defects", outcome.defects)
        } else {
            "kept".into()
        };
    }
    let counts = [
        ("unanswered", violations.unanswered as f64),
        ("answered again", violations.answered_again as f64),
        ("ran twice", violations.ran_twice as f64),
        ("copies", violations.copies as f64),
        ("after drain", violations.after_drain as f64),
        ("pushed over", violations.pushed_over as f64),
        ("past ceiling", violations.past_ceiling),
    ];
    let violated = counts.iter().filter(|(_, count)| *count > 0.0);
    violated.map(|(rule, count)| format!("{rule} {count:.0}")).collect::<Vec<_>>().join(", ")
}

/// What the worth was lost to, by variant: shares of the worth asked, over all seeds together.
pub fn losses(report: &Report) -> String {
    by_variant(report).into_iter().map(|(variant, runs)| losses_of_variant(variant, &runs)).collect()
}

fn losses_of_variant(variant: &str, runs: &[&Run]) -> String {
    let asked = runs.iter().map(|run| run.module.asked.worth).sum::<f64>().max(f64::MIN_POSITIVE);
    let mut text =
        format!("\n| {variant} lost to | worth | quota had room | half unused | fleet had room |\n");
    text += "| --- | --: | --: | --: | --: |\n";
    type Part = fn(&Outcome) -> &BTreeMap<String, Loss>;
    let kinds: [(&str, Part); 2] = [("refused", |own| &own.refused), ("failed", |own| &own.failed)];
    let mut rows: Vec<(f64, String)> = Vec::new();
    for (kind, part) in kinds {
        let names: BTreeSet<&String> = runs.iter().flat_map(|run| part(&run.module).keys()).collect();
        for name in names {
            let sum = |amount: fn(&Loss) -> &Amount| {
                let losses = runs.iter().filter_map(|run| part(&run.module).get(name));
                losses.map(|loss| amount(loss).worth).sum::<f64>() / asked
            };
            let all = sum(|loss| &loss.all);
            let row = format!(
                "| {kind} {name} | {all:.3} | {:.3} | {:.3} | {:.3} |\n",
                sum(|loss| &loss.quota_had_room),
                sum(|loss| &loss.quota_half_unused),
                sum(|loss| &loss.fleet_had_room),
            );
            rows.push((all, row));
        }
    }
    rows.sort_by(|one, other| other.0.total_cmp(&one.0));
    rows.into_iter().for_each(|(_, row)| text += &row);
    text + &prices(runs, asked) + &calls(runs)
}

/// What each kind of cost took off, as a share of the worth asked.
fn prices(runs: &[&Run], asked: f64) -> String {
    let mut text = String::from("\n| price of | module | oracle |\n| --- | --: | --: |\n");
    let prices: BTreeSet<&String> = runs.iter().flat_map(|run| run.module.prices.keys()).collect();
    for price in prices {
        let sum = |outcome: fn(&Run) -> &Outcome| {
            let prices = runs.iter().filter_map(|run| outcome(run).prices.get(price));
            prices.sum::<f64>() / asked
        };
        text += &format!("| {price} | {:.3} | {:.3} |\n", sum(|run| &run.module), sum(|run| &run.oracle));
    }
    text
}

/// Calls to the counter by their purpose and fate.
fn calls(runs: &[&Run]) -> String {
    let total = |figure: fn(&Calls) -> u64| runs.iter().map(|run| figure(&run.module.calls)).sum::<u64>();
    format!("\ncalls: {} to decide, {} to give back, {} to read; {} turned away, {} lost, {} late; {} changed a decision\n",
        total(|calls| calls.decide),
        total(|calls| calls.give_back),
        total(|calls| calls.read),
        total(|calls| calls.turned_away),
        total(|calls| calls.lost),
        total(|calls| calls.late),
        total(|calls| calls.changed),
    )
}

/// The differences of two sets of runs, paired by variant and seed; none if they have no pair in common.
pub fn comparison(before: &[Figures], after: &[Figures]) -> Option<String> {
    let mut text =
        String::from("| variant | figure | before | after | difference | 95% of resamples | pairs |\n");
    text += "| --- | --- | --: | --: | --: | --- | --: |\n";
    let variants: BTreeSet<&str> = before.iter().map(|run| run.variant.as_str()).collect();
    let mut has_pairs = false;
    for variant in variants {
        let pairs: Vec<(&Figures, &Figures)> = before
            .iter()
            .filter(|run| run.variant == variant)
            .filter_map(|run| {
                let same = |other: &&Figures| other.variant == run.variant && other.seed == run.seed;
                Some((run, after.iter().find(same)?))
            })
            .collect();
        type Figure = fn(&Figures) -> f64;
        let figures: [(&str, Figure); 4] = [
            ("place", |run| run.place),
            ("net", |run| run.net),
            ("served", |run| run.served),
            ("beyond", |run| run.beyond),
        ];
        for (name, figure) in figures {
            let values: Vec<(f64, f64)> =
                pairs.iter().map(|(one, other)| (figure(one), figure(other))).collect();
            let Some(found) = paired(&values) else { continue };
            has_pairs = true;
            text += &format!(
                "| {variant} | {name} | {:.3} | {:.3} | {:+.3} | {:+.3} to {:+.3} | {} |\n",
                mean(values.iter().map(|pair| pair.0)),
                mean(values.iter().map(|pair| pair.1)),
                found.mean,
                found.low,
                found.high,
                found.pairs
            );
        }
    }
    has_pairs.then_some(text)
}

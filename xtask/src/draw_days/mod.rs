//! Draws days of trouble for the bench: from every kind that may come, not only those that a deployment's own days
//! show. The same seed draws the same day.

mod kinds;
mod more;

use kinds::{Kind, Range, KINDS};
use more::{CLOSINGS, GROWN};
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// Troubles of a day, at least.
const FEWEST_TROUBLES: u64 = 3;
/// Changes of the configuration that every day has, so that acknowledgements are always under way.
const CHANGES: u64 = 3;
/// Seconds of traffic into which troubles fall.
const BEGINS: f64 = 1.0;
const ENDS: f64 = 25.0;
/// Of ten days, so many end with a closing fault.
const CLOSED_OF_TEN: u64 = 6;
/// A kind that strikes the control side is drawn so many times as often as another.
const CONTROL_WEIGHT: usize = 3;

/// What to draw, and where to write it.
#[derive(Clone, Debug)]
pub struct Request {
    pub folder: PathBuf,
    pub first_seed: u64,
    pub count: u64,
    /// With the kinds that only the grown deployments know.
    pub grown: bool,
    /// Only kinds that strike the control side.
    pub control_only: bool,
    /// Troubles of a day, at most.
    pub most_troubles: u64,
}

/// Writes one file for each day, and prints their names.
pub fn run(request: &Request) -> crate::process::Result<bool> {
    std::fs::create_dir_all(&request.folder)?;
    for seed in request.first_seed..request.first_seed + request.count {
        let path = path_of(&request.folder, seed);
        std::fs::write(&path, day(seed, request))?;
        println!("{}", path.display());
    }
    Ok(true)
}

fn path_of(folder: &Path, seed: u64) -> PathBuf {
    folder.join(format!("drawn-{seed}.toml"))
}

/// A splitmix64 generator: days must stay the same in every build.
struct Draw(u64);

impl Draw {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }

    fn within(&mut self, range: Range) -> f64 {
        let unit = (self.next() >> 11) as f64 / (1u64 << 53) as f64;
        range.low + unit * (range.high - range.low)
    }

    fn one_of<'a, T>(&mut self, choices: &'a [T]) -> &'a T {
        &choices[self.below(choices.len() as u64) as usize]
    }
}

/// The text of a day's file.
pub fn day(seed: u64, request: &Request) -> String {
    let mut draw = Draw(seed);
    let (mut plan, mut faults) = (Vec::new(), Vec::new());
    for _ in 0..CHANGES {
        let at = draw.within(Range { low: BEGINS, high: ENDS });
        let how = draw.one_of(&["route", "weights", "timeout", "tenant", "quota"]);
        plan.push(format!("{{ at = {at:.2}, kind = \"config_change\", how = \"{how}\" }}"));
    }
    let bag = weighted(request);
    let spread = request.most_troubles.saturating_sub(FEWEST_TROUBLES) + 1;
    let troubles = FEWEST_TROUBLES + draw.below(spread);
    for _ in 0..troubles {
        let kind = **draw.one_of(&bag);
        let entry = entry(&mut draw, &kind);
        if kind.planned {
            plan.push(entry);
        } else {
            faults.push(entry);
        }
    }
    let mut text = format!("[[day]]\nname = \"drawn-{seed}\"\nslot = \"trouble\"\nseed = {seed}\n");
    if draw.below(10) < CLOSED_OF_TEN {
        text.push_str(&closing(&mut draw));
    }
    list(&mut text, "plan", &plan);
    list(&mut text, "faults", &faults);
    text
}

/// Each kind as often as its weight says.
fn weighted(request: &Request) -> Vec<&'static Kind> {
    let more: &[Kind] = if request.grown { GROWN } else { &[] };
    let wanted = KINDS.iter().chain(more).filter(|kind| kind.control || !request.control_only);
    let weight = |kind: &Kind| if kind.control { CONTROL_WEIGHT } else { 1 };
    wanted.flat_map(|kind| std::iter::repeat_n(kind, weight(kind))).collect()
}

fn entry(draw: &mut Draw, kind: &Kind) -> String {
    let at = draw.within(Range { low: BEGINS, high: ENDS });
    let mut text = format!("{{ at = {at:.2}, kind = \"{}\"", kind.name);
    let how = draw.one_of(kind.how);
    if !how.is_empty() {
        let _ = write!(text, ", how = \"{how}\"");
    }
    let on = draw.one_of(kind.on);
    if !on.is_empty() {
        let _ = write!(text, ", on = \"{on}\"");
    }
    if let Some(range) = kind.count {
        let _ = write!(text, ", count = {}", draw.within(range).round());
    }
    let fields = [("for_s", kind.for_s), ("gap_s", kind.gap_s), ("share", kind.share), ("x", kind.x)];
    for (field, range) in fields {
        if let Some(range) = range {
            let _ = write!(text, ", {field} = {:.2}", draw.within(range));
        }
    }
    text.push_str(" }");
    text
}

fn closing(draw: &mut Draw) -> String {
    let (kind, variants) = draw.one_of(CLOSINGS);
    let down_s = draw.within(Range { low: 0.6, high: 2.0 });
    let how = draw.one_of(variants);
    let how = if how.is_empty() { String::new() } else { format!(", how = \"{how}\"") };
    format!("closing = {{ kind = \"{kind}\", down_s = {down_s:.2}{how} }}\n")
}

fn list(text: &mut String, name: &str, entries: &[String]) {
    let _ = writeln!(text, "{name} = [");
    for entry in entries {
        let _ = writeln!(text, "  {entry},");
    }
    text.push_str("]\n");
}

//! The faults of an experiment: what is injected into which target, when, and for how long.

use std::fmt;
use violetyoke_config::Section;
use violetyoke_decision::interface::Micros;

const SECOND: f64 = 1e6;
/// Latest time and longest duration: an emulated day.
const MAX_SECONDS: f64 = 86_400.0;

/// What is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Nodes' processes die: connections break, new ones are refused; they are restarted with slow start.
    KillNodes,
    /// Nodes' machines become unreachable; they are restarted with slow start.
    SilenceNodes,
    /// Nodes are drained and end, and new ones take their places.
    ReplaceNodes,
    /// Nodes work slower by the factor.
    SlowNodes,
    /// Nodes answer this share of requests with an error at once.
    FailNodes,
    /// Nodes are paused and continue afterwards.
    PauseNodes,
    /// Ingresses' processes die and are restarted.
    KillIngresses,
    /// A zone is partitioned from the others.
    CutZone,
    /// Ingresses reach no other ingress.
    CutPeers,
    /// Ingresses do not reach the counter.
    CutCounter,
    /// Ingresses receive no lists of nodes.
    CutDiscovery,
    /// Parts of the counter do not answer.
    SilenceCounter,
    /// Parts of the counter work slower by the factor.
    SlowCounter,
    /// The counter loses its totals.
    EmptyCounter,
    /// Answers of parts of the counter are lost, while calls are added.
    DeafCounter,
    /// No ingress receives lists of nodes.
    StopDiscovery,
    /// This share of messages between ingresses is lost.
    LoseMessages,
    /// Demand moves between accounts and, within an account's set, between ingresses.
    ShiftDemand,
    /// Demand grows by the factor.
    Surge,
}

/// The kind of component that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VictimKind {
    /// A node.
    Node,
    /// An ingress.
    Ingress,
    /// A part of the counter.
    CounterPart,
    /// The system as a whole, or a zone.
    System,
}

/// Which components of that kind are affected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Target {
    /// A random share of all.
    Share(f64),
    /// One, by its number from 0.
    One(usize),
    /// All in a zone.
    Zone(u16),
}

/// A fault of an experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// What is injected.
    pub kind: FaultKind,
    /// When the first victim is hit, from the start of the run.
    pub at: Micros,
    /// How long it lasts.
    pub duration: Micros,
    /// Victims are hit one after another within this time.
    pub stagger: Micros,
    /// It is injected again and again at random intervals with this mean; none: once.
    pub mean_interval: Option<Micros>,
    /// Which victims are hit.
    pub target: Target,
    /// A factor of time or load, or a share, according to the kind.
    pub magnitude: f64,
}

/// The number of components of each kind in an experiment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Population {
    pub(crate) nodes: usize,
    pub(crate) ingresses: usize,
    pub(crate) counter_parts: usize,
    pub(crate) zones: u16,
}

/// The kinds by their names in the file.
const KINDS: [(&str, FaultKind); 19] = [
    ("kill_nodes", FaultKind::KillNodes),
    ("silence_nodes", FaultKind::SilenceNodes),
    ("replace_nodes", FaultKind::ReplaceNodes),
    ("slow_nodes", FaultKind::SlowNodes),
    ("fail_nodes", FaultKind::FailNodes),
    ("pause_nodes", FaultKind::PauseNodes),
    ("kill_ingresses", FaultKind::KillIngresses),
    ("cut_zone", FaultKind::CutZone),
    ("cut_peers", FaultKind::CutPeers),
    ("cut_counter", FaultKind::CutCounter),
    ("cut_discovery", FaultKind::CutDiscovery),
    ("silence_counter", FaultKind::SilenceCounter),
    ("slow_counter", FaultKind::SlowCounter),
    ("empty_counter", FaultKind::EmptyCounter),
    ("deaf_counter", FaultKind::DeafCounter),
    ("stop_discovery", FaultKind::StopDiscovery),
    ("lose_messages", FaultKind::LoseMessages),
    ("shift_demand", FaultKind::ShiftDemand),
    ("surge", FaultKind::Surge),
];

impl fmt::Display for FaultKind {
    /// The name in the file.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = KINDS.iter().find(|(_, kind)| kind == self).map_or("", |(name, _)| name);
        f.write_str(name)
    }
}

impl FaultKind {
    /// The kind of component that the fault affects.
    pub fn victims(self) -> VictimKind {
        match self {
            FaultKind::KillNodes
            | FaultKind::SilenceNodes
            | FaultKind::ReplaceNodes
            | FaultKind::SlowNodes
            | FaultKind::FailNodes
            | FaultKind::PauseNodes => VictimKind::Node,
            FaultKind::KillIngresses
            | FaultKind::CutPeers
            | FaultKind::CutCounter
            | FaultKind::CutDiscovery => VictimKind::Ingress,
            FaultKind::SilenceCounter | FaultKind::SlowCounter | FaultKind::DeafCounter => {
                VictimKind::CounterPart
            }
            FaultKind::CutZone
            | FaultKind::EmptyCounter
            | FaultKind::StopDiscovery
            | FaultKind::LoseMessages
            | FaultKind::ShiftDemand
            | FaultKind::Surge => VictimKind::System,
        }
    }

    /// Whether its target may be a zone.
    fn accepts_zone(self) -> bool {
        matches!(self.victims(), VictimKind::Node | VictimKind::Ingress) || self == FaultKind::CutZone
    }

    fn default_magnitude(self) -> f64 {
        match self {
            FaultKind::SlowNodes | FaultKind::SlowCounter => 5.0,
            FaultKind::Surge => 1.5,
            _ => 1.0,
        }
    }
}

/// Reads a `[[fault]]` table; problems become errors of the section.
pub(crate) fn read(section: Section<'_>, population: &Population) -> Fault {
    if !section.has("kind") {
        section.error("kind", "is missing");
    }
    let kind = section.choice("kind", FaultKind::KillNodes, &KINDS);
    let time = |key: &'static str, default: f64| {
        (section.number(key, default, 0.0..=MAX_SECONDS) * SECOND) as Micros
    };
    let target = read_target(&section, kind, population);
    let fault = Fault {
        kind,
        at: time("at_seconds", 0.0),
        duration: time("for_seconds", 1.0),
        stagger: time("over_seconds", 0.0),
        mean_interval: section.has("every_seconds").then(|| time("every_seconds", 1.0).max(1_000)),
        target,
        magnitude: section.number("by", kind.default_magnitude(), 0.0..=1_000.0),
    };
    section.finish();
    fault
}

fn read_target(section: &Section<'_>, kind: FaultKind, population: &Population) -> Target {
    let victims = kind.victims();
    let mut target = Target::Share(section.number("part", 1.0, 0.0..=1.0));
    let mut given = usize::from(section.has("part"));
    for (key, victim_kind, count) in [
        ("node", VictimKind::Node, population.nodes),
        ("ingress", VictimKind::Ingress, population.ingresses),
        ("counter_part", VictimKind::CounterPart, population.counter_parts),
    ] {
        if let Some(number) = read_number(section, key, kind, victims == victim_kind, count) {
            target = Target::One(number);
            given += 1;
        }
    }
    let zones = usize::from(population.zones);
    if let Some(zone) = read_number(section, "zone", kind, kind.accepts_zone(), zones) {
        target = Target::Zone(zone as u16);
        given += 1;
    }
    if given > 1 {
        section.error("kind", "one of part, node, ingress, counter_part and zone says who is hit");
    }
    if kind == FaultKind::CutZone && !matches!(target, Target::Zone(_)) {
        section.error("zone", "is missing: which zone is cut off");
    }
    target
}

/// The number of the affected component, if the key is present. Reports an error if the fault doesn't affect this
/// kind of component or the number is out of range.
fn read_number(
    section: &Section<'_>,
    key: &'static str,
    kind: FaultKind,
    is_accepted: bool,
    count: usize,
) -> Option<usize> {
    if !section.has(key) {
        return None;
    }
    let number = section.integer(key, 0, ..) as usize;
    if !is_accepted {
        section.error(key, format!("is not what {kind} hits"));
    } else if number >= count {
        section.error(key, format!("there is no {key} {number}: they go from 0 to {}", count - 1));
    }
    Some(number)
}

//! The script of faults: what happens to whom, when, and for how long.

use crate::experiment::Nodes;
use violetyoke_config::Section;
use violetyoke_decision::interface::Micros;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The process dies: connections break, new ones are refused; it comes back cold.
    KillNodes,
    /// The machine vanishes: nothing is heard of it; it comes back cold.
    SilenceNodes,
    /// It is drained, ends, and another one takes its place.
    ReplaceNodes,
    SlowNodes,
    /// A part of the requests is answered with an error at once.
    FailNodes,
    PauseNodes,
    KillIngresses,
    /// Connections between a zone and the others are silent.
    CutZone,
    /// An ingress reaches no other one, no counter, or hears no lists.
    CutPeers,
    CutCounter,
    CutDiscovery,
    SilenceCounter,
    SlowCounter,
    EmptyCounter,
    /// Its answers are lost, what they say is added.
    DeafCounter,
    StopDiscovery,
    LoseMessages,
    /// Demand moves between accounts and, in a set, between ingresses.
    ShiftDemand,
    Surge,
}

pub const KINDS: [(&str, Kind); 19] = [
    ("kill_nodes", Kind::KillNodes),
    ("silence_nodes", Kind::SilenceNodes),
    ("replace_nodes", Kind::ReplaceNodes),
    ("slow_nodes", Kind::SlowNodes),
    ("fail_nodes", Kind::FailNodes),
    ("pause_nodes", Kind::PauseNodes),
    ("kill_ingresses", Kind::KillIngresses),
    ("cut_zone", Kind::CutZone),
    ("cut_peers", Kind::CutPeers),
    ("cut_counter", Kind::CutCounter),
    ("cut_discovery", Kind::CutDiscovery),
    ("silence_counter", Kind::SilenceCounter),
    ("slow_counter", Kind::SlowCounter),
    ("empty_counter", Kind::EmptyCounter),
    ("deaf_counter", Kind::DeafCounter),
    ("stop_discovery", Kind::StopDiscovery),
    ("lose_messages", Kind::LoseMessages),
    ("shift_demand", Kind::ShiftDemand),
    ("surge", Kind::Surge),
];

impl Kind {
    pub fn word(self) -> &'static str {
        KINDS.iter().find(|(_, kind)| *kind == self).map_or("", |(word, _)| word)
    }

    fn on_nodes(self) -> bool {
        use Kind::*;
        matches!(self, KillNodes | SilenceNodes | ReplaceNodes | SlowNodes | FailNodes | PauseNodes)
    }

    fn on_ingresses(self) -> bool {
        use Kind::*;
        matches!(self, KillIngresses | CutPeers | CutCounter | CutDiscovery)
    }

    fn on_parts(self) -> bool {
        use Kind::*;
        matches!(self, SilenceCounter | SlowCounter | DeafCounter)
    }
}

/// Who is hit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Whom {
    /// A part of all, drawn.
    Part(f64),
    /// One, by its number from 0.
    One(usize),
    Zone(u16),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub kind: Kind,
    pub at: Micros,
    pub lasts: Micros,
    /// They are hit one after another over that time.
    pub over: Micros,
    /// It comes again and again, with this mean pause, by chance.
    pub every: Option<Micros>,
    pub whom: Whom,
    /// By how much: a factor of time or load, or a share.
    pub by: f64,
}

pub fn read(section: Section<'_>, nodes: &Nodes, zones: u16, ingresses: usize, parts: usize) -> Fault {
    if !section.has("kind") {
        section.error("kind", "is missing");
    }
    let kind = section.word("kind", Kind::KillNodes, &KINDS);
    let time = |key: &'static str, usual: f64| (section.number(key, usual, 0.0..=86_400.0) * 1e6) as Micros;
    let mut whom = Whom::Part(section.number("part", 1.0, 0.0..=1.0));
    let mut named = usize::from(section.has("part"));
    let mut one = |key: &'static str, fits: bool, count: usize| {
        if section.has(key) {
            let number = section.whole(key, 0, ..) as usize;
            if !fits {
                section.error(key, format!("is not what {} hits", kind.word()));
            } else if number >= count {
                section.error(key, format!("there is no {key} {number}: they go from 0 to {}", count - 1));
            }
            named += 1;
            return Some(number);
        }
        None
    };
    if let Some(node) = one("node", kind.on_nodes(), nodes.count) {
        whom = Whom::One(node);
    }
    if let Some(ingress) = one("ingress", kind.on_ingresses(), ingresses) {
        whom = Whom::One(ingress);
    }
    if let Some(part) = one("counter_part", kind.on_parts(), parts) {
        whom = Whom::One(part);
    }
    let zoned = kind.on_nodes() || kind.on_ingresses() || kind == Kind::CutZone;
    if let Some(zone) = one("zone", zoned, usize::from(zones)) {
        whom = Whom::Zone(zone as u16);
    }
    if named > 1 {
        section.error("kind", "one of part, node, ingress, counter_part and zone says who is hit");
    }
    if kind == Kind::CutZone && !matches!(whom, Whom::Zone(_)) {
        section.error("zone", "is missing: which zone is cut off");
    }
    let fault = Fault {
        kind,
        at: time("at_seconds", 0.0),
        lasts: time("for_seconds", 1.0),
        over: time("over_seconds", 0.0),
        every: section.has("every_seconds").then(|| time("every_seconds", 1.0).max(1_000)),
        whom,
        by: section.number("by", usual_by(kind), 0.0..=1_000.0),
    };
    section.finish();
    fault
}

fn usual_by(kind: Kind) -> f64 {
    match kind {
        Kind::SlowNodes | Kind::SlowCounter => 5.0,
        Kind::Surge => 1.5,
        _ => 1.0,
    }
}

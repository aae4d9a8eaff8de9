//! The figures of a step as its phases give them.

use crate::record::Step;
use crate::seen::Spread;
use crate::stage::{Look, Size};
use crate::traffic::goes_out;
use std::collections::BTreeMap;

/// Figures of a step as they come in.
pub struct Figures {
    pub step: Step,
    /// What a second without anything costs (ms of processor time), by role: taken off what a phase has spent.
    quiet: BTreeMap<&'static str, f64>,
}

impl Figures {
    pub fn new(step: Step) -> Figures {
        Figures { step, quiet: BTreeMap::new() }
    }

    pub fn set_quiet(&mut self, role: &'static str, cpu_ms_per_s: f64) {
        self.quiet.insert(role, cpu_ms_per_s);
    }

    pub fn set(&mut self, name: &str, value: f64) {
        self.step.figures.insert(name.to_owned(), value);
    }

    pub fn failed(&mut self, what: impl Into<String>) {
        self.step.failed.push(what.into());
    }

    /// Processor time of a role between two looks (ms), less what a quiet time of that length costs.
    pub fn cpu_ms(&self, before: &Look, after: &Look, role: &'static str) -> f64 {
        let seconds = (after.at - before.at).as_secs_f64();
        let quiet = self.quiet.get(role).copied().unwrap_or(0.0);
        (after.cpu_since(before, role) * 1000.0 - quiet * seconds).max(0.0)
    }

    pub fn spread(&mut self, name: &str, spread: Spread) {
        self.set(&format!("{name}.p50_ms"), spread.p50_ms);
        self.set(&format!("{name}.p99_ms"), spread.p99_ms);
        self.set(&format!("{name}.last_ms"), spread.last_ms);
    }

    /// Frames' bytes of one ingress, in and out, for each of `events` between two looks.
    pub fn ingress_bytes(&mut self, name: &str, before: &Look, after: &Look, size: Size, events: f64) {
        let (mut into, mut out) = (0, 0);
        for kind in after.messages.keys() {
            let bytes = after.messages_since(before, kind).1;
            if goes_out(kind) {
                out += bytes;
            } else {
                into += bytes;
            }
        }
        let ingresses = size.ingresses.max(1) as f64;
        self.set(&format!("ingress.{name}.in_bytes"), into as f64 / ingresses / events);
        self.set(&format!("ingress.{name}.out_bytes"), out as f64 / ingresses / events);
    }

    /// Messages of a kind that all ingresses sent or got, for each event.
    pub fn messages(&mut self, name: &str, kind: &str, before: &Look, after: &Look, events: f64) {
        let messages = after.messages_since(before, kind).0;
        self.set(&format!("registry.{name}.{kind}_messages"), messages as f64 / events);
    }

    /// Bytes between registries for each event.
    pub fn between(&mut self, name: &str, before: &Look, after: &Look, events: f64) {
        let bytes = after.between_registries.0.saturating_sub(before.between_registries.0);
        self.set(&format!("registry.{name}.between_bytes"), bytes as f64 / events);
    }
}

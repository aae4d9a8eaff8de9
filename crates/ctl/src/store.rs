//! A store's folder, inspected offline: what both of its slots contain, and whether it can be trusted. For a copy, or
//! a damaged disk: nothing is written to it.

use serde_json::{json, Value};
use std::io;
use std::path::Path;
use violetyoke_store::consensus::{DurableState, StoreId};
use violetyoke_store::disk::{inspect, SlotContents};

/// What a store's folder contains.
#[derive(Debug)]
pub struct StoreInspection {
    slots: [SlotContents; 2],
}

impl StoreInspection {
    /// Reads a store's folder (`self.data-dir` of its settings).
    ///
    /// # Errors
    /// When the folder or a file in it can't be read. A missing folder is one without slots.
    pub fn read(folder: &Path) -> io::Result<StoreInspection> {
        inspect(folder).map(|slots| StoreInspection { slots })
    }

    /// The newest state: the one from which the store itself would start.
    #[must_use]
    pub fn newest(&self) -> Option<&DurableState> {
        let states = self.slots.iter().filter_map(|slot| match slot {
            SlotContents::State { write_number, state } => Some((write_number, state)),
            SlotContents::Missing | SlotContents::Corrupt => None,
        });
        states.max_by_key(|(write_number, _)| **write_number).map(|(_, state)| &**state)
    }

    /// The configuration of the newest state, as its operator sent it.
    #[must_use]
    pub fn configuration(&self) -> Option<&str> {
        self.newest().map(|durable| durable.state.text.as_str()).filter(|text| !text.is_empty())
    }

    /// As text: a line for each slot, then the newest state.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut lines: Vec<String> =
            self.slots.iter().enumerate().map(|(number, slot)| slot_line(number, slot)).collect();
        match self.newest() {
            Some(durable) => lines.extend(state_lines(durable)),
            None => lines.push("no state: a store that begins here knows nothing".into()),
        }
        lines.join("\n")
    }

    /// For programs: one object for each slot.
    #[must_use]
    pub fn to_json(&self) -> Value {
        Value::from_iter(self.slots.iter().map(slot_json))
    }
}

fn slot_line(number: usize, slot: &SlotContents) -> String {
    match slot {
        SlotContents::Missing => format!("place {number}: missing"),
        SlotContents::Corrupt => {
            format!("place {number}: spoiled: its digest is not that of its bytes, or it is cut short")
        }
        SlotContents::State { write_number, state } => {
            let (epoch, version) = (state.config.epoch, state.state.version);
            format!("place {number}: write {write_number}, epoch {epoch}, version {version}, digest fine")
        }
    }
}

fn state_lines(durable: &DurableState) -> Vec<String> {
    let voter_ids = durable.config.voters.iter().map(|voter| voter.id);
    let (state, revision) = (&durable.state, durable.state.revision);
    let mut lines = vec![
        format!("this store: {}, disk {}", store_name(durable, durable.id), durable.id),
        format!("promised: epoch {}", durable.promised),
        format!("voters: {}", store_names(durable, voter_ids)),
        format!(
            "holders, the primary first: {}",
            store_names(durable, durable.config.data_replicas.iter().copied())
        ),
        format!(
            "held: version {}, {} bytes, stamp {}.{}",
            state.version,
            state.text.len(),
            revision.epoch,
            revision.sequence
        ),
    ];
    if !state.evacuated.is_empty() {
        let zones: Vec<&str> = state.evacuated.iter().map(String::as_str).collect();
        lines.push(format!("evacuated: {}", zones.join(", ")));
    }
    lines
}

/// Address and zone of a voter, or the id of a store that is none.
fn store_name(durable: &DurableState, id: StoreId) -> String {
    let voter = durable.config.voters.iter().find(|voter| voter.id == id);
    voter.map_or_else(|| id.to_string(), |voter| format!("{} ({})", voter.ip, voter.zone))
}

fn store_names(durable: &DurableState, ids: impl IntoIterator<Item = StoreId>) -> String {
    ids.into_iter().map(|id| store_name(durable, id)).collect::<Vec<_>>().join(", ")
}

fn slot_json(slot: &SlotContents) -> Value {
    match slot {
        SlotContents::Missing => json!({"found": "missing"}),
        SlotContents::Corrupt => json!({"found": "spoiled"}),
        SlotContents::State { write_number, state } => {
            let voters = state.config.voters.iter();
            let voters: Vec<Value> =
                voters.map(|voter| json!({"id": voter.id, "ip": voter.ip, "zone": voter.zone})).collect();
            json!({
                "found": "state", "write": write_number, "epoch": state.config.epoch,
                "version": state.state.version, "promised": state.promised,
                "holders": state.config.data_replicas, "evacuated": state.state.evacuated, "voters": voters,
            })
        }
    }
}

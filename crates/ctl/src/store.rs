//! A store's folder by hand: what both of its places hold, and whether it can be trusted. On a copy or a damaged disk; nothing is
//! written to it.

use serde_json::{json, Value};
use std::io;
use std::path::Path;
use violetyoke_store::consensus::DurableState;
use violetyoke_store::disk::{inspect, SlotContents};

/// What was found.
#[derive(Debug)]
pub struct Inspected {
    places: [SlotContents; 2],
}

impl Inspected {
    /// Looks into a store's folder (`self.data-dir` of its settings).
    pub fn of(folder: &Path) -> io::Result<Inspected> {
        inspect(folder).map(|places| Inspected { places })
    }

    /// The newest state, as the store itself would begin from it.
    pub fn newest(&self) -> Option<&DurableState> {
        let states = self.places.iter().filter_map(|place| match place {
            SlotContents::State { write_number, state } => Some((write_number, state)),
            SlotContents::Missing | SlotContents::Corrupt => None,
        });
        states.max_by_key(|(number, _)| **number).map(|(_, state)| &**state)
    }

    /// The configuration of the newest state, as its operator sent it.
    pub fn configuration(&self) -> Option<&str> {
        self.newest().map(|state| state.state.text.as_str()).filter(|text| !text.is_empty())
    }

    /// One line a place, then what the store is and holds.
    pub fn text(&self) -> String {
        let mut lines: Vec<String> = Vec::new();
        for (n, place) in self.places.iter().enumerate() {
            lines.push(match place {
                SlotContents::Missing => format!("place {n}: missing"),
                SlotContents::Corrupt => {
                    format!("place {n}: spoiled: its digest is not that of its bytes, or it is cut short")
                }
                SlotContents::State { write_number: number, state } => {
                    let (epoch, version) = (state.config.epoch, state.state.version);
                    format!("place {n}: write {number}, epoch {epoch}, version {version}, digest fine")
                }
            });
        }
        let Some(state) = self.newest() else {
            lines.push("no state: a store that begins here knows nothing".into());
            return lines.join("\n");
        };
        let member = |id: &u64| {
            let voter = state.config.voters.iter().find(|voter| voter.id == *id);
            voter.map_or_else(|| format!("{id:x}"), |voter| format!("{} ({})", voter.ip, voter.zone))
        };
        let names = |ids: Vec<u64>| ids.iter().map(member).collect::<Vec<_>>().join(", ");
        lines.push(format!("this store: {}, disk {:x}", member(&state.id), state.id));
        lines.push(format!("promised: epoch {}", state.promised));
        lines.push(format!("voters: {}", names(state.config.voters.iter().map(|voter| voter.id).collect())));
        lines.push(format!("holders, the primary first: {}", names(state.config.data_replicas.clone())));
        let control = &state.state;
        lines.push(format!(
            "held: version {}, {} bytes, stamp {}.{}",
            control.version,
            control.text.len(),
            control.revision.epoch,
            control.revision.sequence
        ));
        if !control.evacuated.is_empty() {
            let zones: Vec<&str> = control.evacuated.iter().map(String::as_str).collect();
            lines.push(format!("evacuated: {}", zones.join(", ")));
        }
        lines.join("\n")
    }

    pub fn json(&self) -> Value {
        let place = |place: &SlotContents| match place {
            SlotContents::Missing => json!({"found": "missing"}),
            SlotContents::Corrupt => json!({"found": "spoiled"}),
            SlotContents::State { write_number: number, state } => json!({
                "found": "state", "write": number, "epoch": state.config.epoch, "version": state.state.version,
                "promised": state.promised, "holders": state.config.data_replicas, "evacuated": state.state.evacuated,
                "voters": state.config.voters.iter().map(|it| json!({"id": it.id, "ip": it.ip, "zone": it.zone}))
                    .collect::<Vec<_>>(),
            }),
        };
        Value::from_iter(self.places.iter().map(place))
    }
}

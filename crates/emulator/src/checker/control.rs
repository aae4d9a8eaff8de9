//! The rules CONFIG and LOST for commands: acknowledged configurations are still there, unchanged, at the end of the
//! day, and invalid ones are not acknowledged.

use super::Checker;
use crate::records::Command;
use std::collections::HashMap;

impl Checker<'_> {
    pub(super) fn check_control(&mut self) {
        let mut newest = 0;
        let mut sent: HashMap<u64, &str> = HashMap::new();
        for record in &self.records.commands {
            let Command::Configuration { version, text, is_valid, .. } = &record.command else { continue };
            if !is_valid && record.acknowledged_at.is_some() {
                self.report("CONFIG", format!("invalid version {version} was acknowledged"));
            }
            if *is_valid {
                sent.insert(*version, text);
                newest = newest.max(record.acknowledged_at.map_or(0, |_| *version));
            }
        }
        match &self.records.read_back {
            None => self.report("LOST", "nothing was read back".into()),
            Some((version, _)) if *version < newest => {
                self.report("LOST", format!("version {version} was read back, {newest} acknowledged"));
            }
            Some((version, text)) if sent.get(version) != Some(&text.as_str()) => {
                self.report("CONFIG", format!("version {version} is not what was sent"));
            }
            Some(_) => {}
        }
    }
}

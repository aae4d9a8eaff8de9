//! What happens to machines.

use super::World;
use std::net::Ipv4Addr;

impl World {
    /// The process ends. With the power, what is not synced is lost, and the slot that was being written may be torn.
    pub fn kill(&mut self, n: usize, power: bool) {
        let tear = self.chance.below(3);
        let machine = &mut self.machines[n];
        machine.register = None;
        machine.late.clear();
        if let (true, Some((_, state, _))) = (power, machine.writing.first()) {
            let whole = machine.turn.bytes(state);
            match tear {
                0 => {}
                1 => machine.slots[machine.turn.slot] = whole[..whole.len() / 2].to_vec(),
                _ => machine.slots[machine.turn.slot] = whole,
            }
        } else if let Some((_, state, _)) = machine.writing.last().cloned() {
            // Bytes that a process wrote stay when only the process dies.
            machine.slots[machine.turn.slot] = machine.turn.bytes(&state);
        }
        machine.writing.clear();
    }

    pub fn wipe(&mut self, n: usize) {
        self.kill(n, true);
        self.machines[n].slots = [Vec::new(), Vec::new()];
    }

    pub fn restart(&mut self, n: usize) {
        if self.machines[n].register.is_none() {
            let seeds: Vec<Ipv4Addr> = self.machines.iter().take(3).map(|machine| machine.ip).collect();
            self.start(n, &seeds, false);
        }
    }

    pub fn up(&self, n: usize) -> bool {
        self.machines[n].register.is_some()
    }
}

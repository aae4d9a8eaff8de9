//! Injects the faults of a plan, and ends each after its duration.

use super::deployment::Deployment;
use super::fault::{PlannedFault, ProcessFault, Strike};
use super::plan::Plan;
use crate::backend::Fault;
use crate::ProcessRef;
use std::io;
use std::time::{Duration, Instant};

/// A fault that was injected, and when.
#[derive(Clone, Copy, Debug)]
pub(super) struct InjectedFault {
    pub(super) strike: Strike,
    pub(super) at: Instant,
}

/// The beginning or the end of a fault.
#[derive(Clone, Copy)]
struct Step {
    at: Duration,
    fault: PlannedFault,
    is_beginning: bool,
}

/// Injects faults into a deployment.
pub(super) struct Injector<'a> {
    deployment: &'a mut Deployment,
    injected: Vec<InjectedFault>,
}

impl<'a> Injector<'a> {
    pub(super) fn new(deployment: &'a mut Deployment) -> Injector<'a> {
        Injector { deployment, injected: Vec::new() }
    }

    /// Injects all faults. Returns when all have ended.
    ///
    /// # Errors
    /// Those of signals and of starting processes.
    pub(super) fn run(mut self, plan: &Plan) -> io::Result<Vec<InjectedFault>> {
        let started = Instant::now();
        for step in steps(plan) {
            std::thread::sleep((started + step.at).saturating_duration_since(Instant::now()));
            if step.is_beginning {
                self.injected.push(InjectedFault { strike: step.fault.strike, at: Instant::now() });
                self.begin(step.fault.strike)?;
            } else {
                self.end(step.fault.strike)?;
            }
        }
        Ok(self.injected)
    }

    fn begin(&mut self, strike: Strike) -> io::Result<()> {
        match strike {
            Strike::Backend(backend, fault) => {
                self.deployment.backends[backend].set_fault(fault);
                Ok(())
            }
            Strike::SpoiledNumbers(backend) => {
                self.deployment.set_spoils_numbers(backend, true);
                Ok(())
            }
            Strike::Process(process_ref, fault) => {
                let system = &mut self.deployment.system;
                match (fault, process_ref) {
                    (ProcessFault::DiskLost, ProcessRef::Store(core)) => system.lose_disk(core),
                    (ProcessFault::Killed | ProcessFault::DiskLost, _) => {
                        system.process_mut(process_ref).kill()
                    }
                    (ProcessFault::Frozen, _) => system.process_mut(process_ref).pause(),
                    (ProcessFault::Terminated, _) => system.process_mut(process_ref).terminate(),
                }
            }
        }
    }

    fn end(&mut self, strike: Strike) -> io::Result<()> {
        match strike {
            Strike::Backend(backend, _) => {
                self.deployment.backends[backend].set_fault(Fault::None);
                Ok(())
            }
            Strike::SpoiledNumbers(backend) => {
                self.deployment.set_spoils_numbers(backend, false);
                Ok(())
            }
            Strike::Process(process_ref, fault) => {
                let process = self.deployment.system.process_mut(process_ref);
                match fault {
                    ProcessFault::Frozen => process.resume(),
                    ProcessFault::Killed | ProcessFault::Terminated | ProcessFault::DiskLost => {
                        process.restart()
                    }
                }
            }
        }
    }
}

fn steps(plan: &Plan) -> Vec<Step> {
    let both = |fault: &PlannedFault| {
        let beginning = Step { at: fault.at, fault: *fault, is_beginning: true };
        [beginning, Step { at: fault.at + fault.lasts, is_beginning: false, ..beginning }]
    };
    let mut steps: Vec<Step> = plan.faults.iter().flat_map(both).collect();
    steps.sort_by_key(|step| step.at);
    steps
}

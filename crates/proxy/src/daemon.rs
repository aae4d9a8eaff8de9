//! The proxy as a process: when it is ready, how it leaves, what it does when its settings change.

use crate::state::Proxy;
use crate::{front, ready};
use error_stack::{Report, ResultExt};
use slog::{info, Logger};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::{interval, sleep, Instant, MissedTickBehavior};
use violetyoke_api::Settings;
use violetyoke_transport::connection;
use violetyoke_transport::daemon::StartError;
use violetyoke_transport::lifecycle::Lifecycle;
use violetyoke_transport::messages::{ListDigest, Membership};
use violetyoke_transport::net::{self, Listener};

const TICK: Duration = Duration::from_millis(50);
/// Registries that may know something newer are waited for so long, once one has told its state.
const ALL_HEARD: Duration = Duration::from_millis(700);
/// And so long where none of those that are connected is in contact with the core.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Clients that were sent here before may still come for so long after a SIGTERM.
const STILL_COME: Duration = Duration::from_millis(2_200);

/// The program, with the arguments after its name.
pub fn program(arguments: lexopt::Parser) -> std::process::ExitCode {
    let about = "The proxy: carries clients' requests to backends; one process on each edge machine.";
    violetyoke_transport::daemon::run("proxy", about, arguments, run)
}

const FAILED: StartError = StartError("proxy");

pub enum Input {
    Registry(Ipv4Addr, connection::Event),
}

fn listen(address: Option<SocketAddr>, field: &str) -> Result<Listener, Report<StartError>> {
    let address = address.ok_or_else(|| Report::new(FAILED).attach(format!("{field} is missing")))?;
    net::listen(address).change_context(FAILED).attach_with(|| format!("{field}: {address}"))
}

pub async fn run(
    settings: Settings,
    mut lifecycle: Lifecycle,
    log: Logger,
) -> Result<(), Report<StartError>> {
    let front = listen(settings.network.listen.front, "network.listen.front")?;
    let readiness = listen(settings.network.listen.ready, "network.listen.ready")?;
    let grace = Duration::from_secs_f64(settings.terms.bounds.grace_s.clamp(0.5, 60.0));
    let proxy = Rc::new(Proxy::new(settings, lifecycle.incarnation, log));
    let (inputs, mut queue) = unbounded_channel();
    let taking = tokio::task::spawn_local(front::serve(front, proxy.clone()));
    tokio::task::spawn_local(ready::serve(readiness, proxy.clone()));
    info!(proxy.log, "begins");
    let begun = Instant::now();
    let mut told = None;
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            input = queue.recv() => match input {
                Some(Input::Registry(ip, event)) => proxy.registry(ip, event),
                None => return Ok(()),
            },
            _ = ticks.tick() => {
                proxy.connect(&inputs);
                if !proxy.ready.get() && knows(&proxy) {
                    let since = *told.get_or_insert_with(Instant::now);
                    let patience = if in_contact(&proxy) { ALL_HEARD } else { CONTACT };
                    if all_heard(&proxy) || since.elapsed() > patience {
                        proxy.ready.set(true);
                        info!(proxy.log, "ready"; "after_ms" => begun.elapsed().as_millis());
                        proxy.announce();
                    }
                }
            }
            Some(settings) = lifecycle.settings.recv() => *proxy.seeds.borrow_mut() = settings.seeds(),
            _ = lifecycle.shutdown.recv() => break,
        }
    }
    proxy.leaving.set(true);
    proxy.announce();
    info!(proxy.log, "leaves"; "connections" => proxy.open.get());
    let left = Instant::now();
    let last = left + grace.saturating_sub(Duration::from_millis(400));
    sleep(Duration::from_millis(150)).await;
    proxy.leave.notify_waiters();
    let mut ticks = interval(Duration::from_millis(20));
    while Instant::now() < last {
        tokio::select! {
            Some(Input::Registry(ip, event)) = queue.recv() => proxy.registry(ip, event),
            _ = ticks.tick() => {
                proxy.leave.notify_waiters();
                if left.elapsed() > STILL_COME {
                    taking.abort();
                    if proxy.open.get() == 0 {
                        break;
                    }
                }
            }
        }
    }
    info!(proxy.log, "ends"; "connections" => proxy.open.get(), "figures" => proxy.figures.line());
    Ok(())
}

fn knows(proxy: &Proxy) -> bool {
    proxy.snapshot.borrow().is_some() && proxy.list.get() != ListDigest::NONE
}

/// A registry that is not cut off from the core has told its state, and nothing newer than what is known here.
fn in_contact(proxy: &Proxy) -> bool {
    let registries = proxy.registries.borrow();
    let up = registries.values().filter(|registry| registry.sender.is_some());
    up.map(|registry| &registry.members).any(|it| it.in_contact && it.newest <= proxy.revision())
}

/// All registries that are connected have told how new a state they have, none a newer one than is known here, and
/// they are more than half of those that are known.
fn all_heard(proxy: &Proxy) -> bool {
    let registries = proxy.registries.borrow();
    let up = registries.values().filter(|registry| registry.sender.is_some());
    let told = |members: &Membership| members.digest != 0 && members.newest <= proxy.revision();
    let certain = up.clone().any(|registry| registry.members.in_contact);
    certain && up.clone().all(|registry| told(&registry.members)) && up.count() * 2 > registries.len()
}

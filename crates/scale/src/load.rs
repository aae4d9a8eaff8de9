//! All simulated proxies of a run, on threads of their own.

use crate::observations::Observations;
use crate::protocol::ProxyProtocol;
use crate::simulated_proxy::SimulatedProxy;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::{AbortHandle, LocalSet};
use violetyoke_transport::connection;
use violetyoke_transport::messages::Session;

#[derive(Clone, Copy, Debug)]
enum Command {
    Start(usize),
    Stop(usize),
    /// So many increments, one for each proxy in turn.
    Increment(usize),
}

/// Where registries listen for proxies, by the address of their machine.
pub type Registries = BTreeMap<Ipv4Addr, SocketAddrV4>;

struct Worker {
    commands: UnboundedSender<Command>,
    thread: JoinHandle<()>,
}

/// All simulated proxies. Dropping it ends them and their threads.
pub struct ProxyLoad {
    observations: Arc<Observations>,
    workers: Vec<Worker>,
}

impl ProxyLoad {
    /// Starts the threads, without any proxy; `members` is how many proxies there will be in all.
    ///
    /// # Errors
    /// When a thread or its runtime can't be started.
    pub fn start(threads: usize, registries: &Registries, members: usize) -> io::Result<ProxyLoad> {
        let observations = Arc::new(Observations::default());
        observations.members.store(members, Ordering::Relaxed);
        let start = |_| {
            let (commands, queue) = unbounded_channel();
            let (observations, registries) = (observations.clone(), registries.clone());
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let work = move || LocalSet::new().block_on(&runtime, run(queue, registries, observations));
            let thread = std::thread::Builder::new().name("proxies".into()).spawn(work)?;
            Ok(Worker { commands, thread })
        };
        let workers = (0..threads).map(start).collect::<io::Result<_>>()?;
        Ok(ProxyLoad { observations, workers })
    }

    /// What the proxies report.
    #[must_use]
    pub fn observations(&self) -> &Observations {
        &self.observations
    }

    /// Starts a proxy.
    pub fn start_proxy(&self, number: usize) {
        self.send(number, Command::Start(number));
    }

    /// Ends a proxy as a crash does: its connections close.
    pub fn stop_proxy(&self, number: usize) {
        self.send(number, Command::Stop(number));
    }

    /// So many increments from each thread, spread over its proxies.
    pub(crate) fn increment(&self, per_thread: usize) {
        (0..self.workers.len()).for_each(|thread| self.send(thread, Command::Increment(per_thread)));
    }

    pub(crate) fn thread_count(&self) -> usize {
        self.workers.len()
    }

    fn send(&self, number: usize, command: Command) {
        let worker = &self.workers[number % self.workers.len()];
        #[expect(clippy::let_underscore_must_use, reason = "a thread ends only when the load does")]
        let _ = worker.commands.send(command);
    }
}

impl Drop for ProxyLoad {
    fn drop(&mut self) {
        for Worker { commands, thread } in self.workers.drain(..) {
            drop(commands);
            #[expect(
                clippy::let_underscore_must_use,
                reason = "a panic there was printed, and the run is over"
            )]
            let _ = thread.join();
        }
    }
}

/// Ends its connections when it is dropped.
struct Running {
    proxy: Rc<SimulatedProxy>,
    connections: Vec<AbortHandle>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.connections.iter().for_each(AbortHandle::abort);
    }
}

/// The proxies of one thread.
async fn run(mut queue: UnboundedReceiver<Command>, registries: Registries, observations: Arc<Observations>) {
    let mut running: BTreeMap<usize, Running> = BTreeMap::new();
    let (mut starts, mut request_id) = (0, 0);
    while let Some(command) = queue.recv().await {
        match command {
            Command::Start(number) => {
                starts += 1;
                running.insert(number, start_proxy(number, starts, &registries, observations.clone()));
            }
            Command::Stop(number) => {
                running.remove(&number);
                // The aborted connections close before the next command.
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            Command::Increment(count) => {
                for Running { proxy, .. } in running.values().cycle().take(count) {
                    request_id += 1;
                    proxy.increment(request_id);
                }
            }
        }
    }
}

fn start_proxy(
    number: usize,
    starts: u32,
    registries: &Registries,
    observations: Arc<Observations>,
) -> Running {
    let front = Ipv4Addr::from(0x0a00_0000 + number as u32);
    let session = Session {
        node: format!("edge-hollow-{number}"),
        front_address: SocketAddrV4::new(front, 8080),
        zone: if number.is_multiple_of(2) { "a" } else { "b" }.into(),
        region: "west".into(),
        is_ready: false,
    };
    let known: Vec<Ipv4Addr> = registries.keys().copied().collect();
    let incarnation = starts.wrapping_mul(0x85eb_ca6b) ^ (number as u32).wrapping_mul(0x9e37_79b1);
    let protocol = ProxyProtocol::new(session, incarnation, &known);
    let proxy = Rc::new(SimulatedProxy::new(protocol, observations));
    let connect = |(ip, address): (&Ipv4Addr, &SocketAddrV4)| {
        let (ip, proxy) = (*ip, proxy.clone());
        tokio::task::spawn_local(connection::maintain(*address, move |event| proxy.on_event(ip, event)))
            .abort_handle()
    };
    let connections = registries.iter().map(connect).collect();
    Running { proxy, connections }
}

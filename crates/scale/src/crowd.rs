//! Hollow ingresses on real connections: many on each of a few threads, each with a session at every registry, kept up by
//! the session code of the proxies (`violetyoke_transport::connection`).

use crate::hollow::Hollow;
use crate::ingress::Ingress;
use crate::seen::Seen;
use crate::traffic::Traffic;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::sync::atomic::AtomicUsize;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::{AbortHandle, LocalSet};
use violetyoke_transport::connection;
use violetyoke_transport::messages::{ListDigest, Revision, Session};

/// What all hollow ingresses report.
#[derive(Debug, Default)]
pub struct Report {
    pub traffic: Traffic,
    pub states: Seen<Revision>,
    pub lists: Seen<ListDigest>,
    /// Ingresses that are settled, and those that know all members.
    pub settled: AtomicUsize,
    pub complete: AtomicUsize,
    /// How many members there are in all.
    pub members: AtomicUsize,
}

#[derive(Clone, Copy, Debug)]
enum Command {
    Begin(usize),
    End(usize),
    /// That many adds, one for each ingress in turn.
    Adds(usize),
}

/// Where registries listen for proxies.
pub type Registries = BTreeMap<Ipv4Addr, SocketAddrV4>;

/// All hollow ingresses of a run.
pub struct Crowd {
    pub report: Arc<Report>,
    threads: Vec<(UnboundedSender<Command>, Option<JoinHandle<()>>)>,
}

impl Crowd {
    pub fn start(threads: usize, registries: &Registries) -> io::Result<Crowd> {
        let report = Arc::new(Report::default());
        let start = |_| {
            let (commands, queue) = unbounded_channel();
            let (report, registries) = (report.clone(), registries.clone());
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let thread = std::thread::Builder::new()
                .name("hollow".into())
                .spawn(move || LocalSet::new().block_on(&runtime, obey(queue, registries, report)))?;
            Ok((commands, Some(thread)))
        };
        let threads = (0..threads).map(start).collect::<io::Result<_>>()?;
        Ok(Crowd { report, threads })
    }

    fn tell(&self, number: usize, command: Command) {
        if let Some((commands, _)) = self.threads.get(number % self.threads.len()) {
            // A thread ends only when the crowd does.
            let _ = commands.send(command);
        }
    }

    pub fn begin(&self, number: usize) {
        self.tell(number, Command::Begin(number));
    }

    /// Ends an ingress as a crash does: its connections close.
    pub fn end(&self, number: usize) {
        self.tell(number, Command::End(number));
    }

    /// So many adds from each thread, spread over its ingresses.
    pub fn adds(&self, of_each_thread: usize) {
        for thread in 0..self.threads.len() {
            self.tell(thread, Command::Adds(of_each_thread));
        }
    }

    pub fn threads(&self) -> usize {
        self.threads.len()
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for (commands, thread) in self.threads.drain(..) {
            drop(commands);
            let _ = thread.map(JoinHandle::join);
        }
    }
}

/// Ends its connections when it is dropped.
struct Running {
    ingress: Rc<Ingress>,
    connections: Vec<AbortHandle>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.connections.iter().for_each(AbortHandle::abort);
    }
}

async fn obey(mut queue: UnboundedReceiver<Command>, registries: Registries, report: Arc<Report>) {
    let mut running: BTreeMap<usize, Running> = BTreeMap::new();
    let mut lives = 0;
    let mut calls = 0;
    while let Some(command) = queue.recv().await {
        match command {
            Command::Begin(number) => {
                lives += 1;
                running.insert(number, begin(number, lives, &registries, report.clone()));
            }
            Command::End(number) => {
                running.remove(&number);
                // The aborted connections close before the next command.
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            Command::Adds(count) => {
                for Running { ingress, .. } in running.values().cycle().take(count) {
                    calls += 1;
                    ingress.add(calls);
                }
            }
        }
    }
}

fn begin(number: usize, life: u32, registries: &Registries, report: Arc<Report>) -> Running {
    let front = Ipv4Addr::from(0x0a00_0000 + number as u32);
    let session = Session {
        node: format!("edge-hollow-{number}"),
        front_address: SocketAddrV4::new(front, 8080),
        zone: if number.is_multiple_of(2) { "a" } else { "b" }.into(),
        region: "west".into(),
        is_ready: false,
    };
    let known: Vec<Ipv4Addr> = registries.keys().copied().collect();
    let drawn = life.wrapping_mul(0x85eb_ca6b) ^ (number as u32).wrapping_mul(0x9e37_79b1);
    let ingress = Rc::new(Ingress::new(Hollow::new(session, drawn, &known), report));
    let connect = |(ip, address): (&Ipv4Addr, &SocketAddrV4)| {
        let (ip, ingress) = (*ip, ingress.clone());
        tokio::task::spawn_local(connection::maintain(*address, move |event| ingress.event(ip, event)))
            .abort_handle()
    };
    let connections = registries.iter().map(connect).collect();
    Running { ingress, connections }
}

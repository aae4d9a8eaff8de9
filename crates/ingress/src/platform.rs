//! One pool in the form that the platform expects: what [`config`](crate::config) reads from `EDGE_CONFIG`.

use crate::backend::Budget;
use crate::clients::Clients;
use crate::config::{self, Config};
use crate::driver::{Driver, Setup};
use crate::embedded::Link;
use crate::front::{Front, Routing};
use crate::pool::Pool;
use crate::request::{Form, Rules};
use crate::{discovery, peers, server, Clock, Message};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;

/// Serves until told to end; returns once everything taken has been answered.
pub async fn serve(config: Config) -> io::Result<()> {
    // Before anything is ready: a signal that finds no handler ends the program.
    let terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let clock = Clock::start();
    let (messages, inbox) = mpsc::unbounded_channel();
    let listener = server::listen(config.listen)?;
    let peers = match config.peer_listen {
        Some(address) if config.settings.limits.peer_messages => {
            Some(peers::Peers::open(address, &config, messages.clone())?)
        }
        _ => None,
    };
    let counter = config.counter.zip(config.settings.counter);
    let counter = counter.map(|(address, _)| Link::Remote { address, space: None });
    let mut watch = tokio::task::spawn_local(discovery::watch(config.discovery, messages.clone()));
    let (moved, mut counter_at) = (messages.clone(), config.counter);
    tokio::task::spawn_local(async move {
        while reload.recv().await.is_some() {
            match config::reload() {
                Ok(addresses) => {
                    eprintln!("SIGHUP: discovery {}, counter {:?}", addresses.discovery, addresses.counter);
                    // A new watch begins with the whole list, so nothing told meanwhile is missed.
                    watch.abort();
                    watch = tokio::task::spawn_local(discovery::watch(addresses.discovery, moved.clone()));
                    if let Some(address) = addresses.counter.filter(|new| counter_at != Some(*new)) {
                        counter_at = Some(address);
                        let _ = moved.send(Message::CounterMoved(Link::Remote { address, space: None }));
                    }
                }
                Err(error) => eprintln!("SIGHUP: the configuration in force stays: {error}"),
            }
        }
    });
    let names = config.names.clone();
    let rules = Rules::new(&config.settings, names.classes.clone(), names.plans.clone(), Form::Platform);
    let pool = Pool::alone(rules, messages.clone());
    let longest = config.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    let setup = Setup {
        settings: config.settings,
        names,
        seed: config.seed,
        budget: Budget::alone(config.sockets * 5 / 16),
        known: config.known.unwrap_or_default(),
        counter,
        peers,
    };
    let driver = Driver::new(setup, clock, messages, pool.clone());
    let driver = tokio::task::spawn_local(driver.run(inbox));
    let front = Front::new(Routing::One(pool));
    let shared = server::Shared::new(front, clock, Clients::alone(config.sockets), None);
    // A task of its own: the runtime polls the outermost future with every wake, whatever that was for.
    let service = tokio::task::spawn_local(server::serve(
        listener,
        Rc::new(shared),
        terminate,
        Duration::from_micros(longest),
    ));
    tokio::select! {
        end = service => end.map_err(io::Error::other)?,
        // Without the module nothing can be served: the platform had better start anew.
        _ = driver => Err(io::Error::other("the decision module has failed")),
    }
}

//! The operator: orders sent until they are acknowledged, to one core machine after the other, and read back at the end.

use crate::calls::call;
use crate::records::{Notes, Order, What};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

const SILENCE: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(100);
/// An order that is not acknowledged for so long is given up.
const INSISTS: Duration = Duration::from_secs(20);

#[derive(Clone)]
pub struct Operator {
    pub notes: Notes,
    pub controls: Rc<Vec<SocketAddr>>,
    pub zones: Rc<Vec<&'static str>>,
}

impl Operator {
    /// Sends an order until it has a clear answer; its place among the orders.
    pub async fn order(&self, what: What, seed: u64) -> usize {
        let sent = self.notes.now();
        let place = self.notes.with(|records| {
            records.orders.push(Order { what: what.clone(), sent, acked: None, by: None, refused: false });
            records.orders.len() - 1
        });
        let (target, body) = match what {
            What::Configuration { text, .. } => ("/api/rpc?call=configuration.replace".to_owned(), text),
            What::Evacuate { zone, empty } => {
                let verb = if empty { "begin" } else { "finish" };
                let zone = self.zones.get(zone).copied().unwrap_or_default();
                (format!("/api/rpc?call=evacuation.{verb}&of={zone}"), String::new())
            }
        };
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (until, mut pause) = (Instant::now() + INSISTS, PAUSE);
        let mut next = rng.random_range(0..self.controls.len().max(1));
        while Instant::now() < until {
            let status = self.send(next, &target, &body).await;
            next += 1;
            match status {
                200..=299 => {
                    let (now, by) =
                        (self.notes.now(), self.controls.get((next - 1) % self.controls.len()).copied());
                    self.notes.with(|records| {
                        let order = &mut records.orders[place];
                        (order.acked, order.by) = (Some(now), by);
                    });
                    return place;
                }
                400 | 409 | 412 | 413 | 422 => {
                    self.notes.with(|records| records.orders[place].refused = true);
                    return place;
                }
                _ => sleep(pause).await,
            }
            pause = (pause * 2).min(SILENCE);
        }
        place
    }

    async fn send(&self, n: usize, target: &str, body: &str) -> u16 {
        let Some(to) = self.controls.get(n % self.controls.len().max(1)) else { return 0 };
        call(*to, "POST", target, body.to_owned(), SILENCE * 3).await.map_or(0, |whole| whole.status)
    }

    /// Reads the configuration back, for as long as that.
    pub async fn read_back(&self, within: Duration) {
        let until = Instant::now() + within;
        for n in 0.. {
            let Some(to) = self.controls.get(n % self.controls.len().max(1)) else { return };
            let whole =
                call(*to, "POST", "/api/rpc?call=configuration.read", String::new(), SILENCE * 3).await;
            if let Some(whole) = whole.filter(|whole| whole.status == 200) {
                let text = String::from_utf8_lossy(&whole.body).into_owned();
                let held: Value = serde_json::from_str(&text).unwrap_or_default();
                let version = held["version"].as_u64().unwrap_or(0);
                return self.notes.with(|records| records.read_back = Some((version, text)));
            }
            if Instant::now() > until {
                return;
            }
            sleep(PAUSE).await;
        }
    }
}

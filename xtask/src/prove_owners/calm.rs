//! What requests see of the fleet's work, and what the report makes of requests.

use super::{CALM, LENGTH, PACE, SPAN, TENANTS};
use crate::figures::{quantile, Figures};
use crate::load::{paced, Answered};
use crate::process::Result;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use violetyoke_rig::fleet::Fleet;
use violetyoke_rig::history;

/// Paced clients, one an ingress and tenant in turn; returns all answers.
pub fn load(fleet: &Fleet, time: Duration) -> Vec<(&'static str, Vec<Answered>)> {
    let end = Instant::now() + time;
    let clients: Vec<_> = (fleet.ingresses.iter().enumerate())
        .map(|(number, ingress)| {
            let (address, tenant) = (ingress.address, TENANTS[number % TENANTS.len()]);
            let request = format!(
                "POST /bookings HTTP/1.1\r\nHost: {tenant}.example.org\r\nX-Account: hotel-7\r\n\
                 Content-Length: 6\r\n\r\nroom=4"
            );
            (tenant, paced(address, number, request, PACE, end))
        })
        .collect();
    clients.into_iter().map(|(tenant, client)| (tenant, client.join().unwrap_or_default())).collect()
}

/// The half and the ninety-ninth part of the times of answers, in milliseconds.
pub fn times(answers: &[(&'static str, Vec<Answered>)]) -> [f64; 2] {
    let mut times: Vec<f64> = answers.iter().flat_map(|(_, list)| list.iter().map(|one| one.took)).collect();
    [0.5, 0.99].map(|part| quantile(&mut times, part))
}

/// Tenants are in force everywhere.
pub fn serve_all(fleet: &Fleet) -> Result<()> {
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        let answers = load(fleet, Duration::from_millis(100));
        if answers.iter().all(|(_, list)| list.iter().all(|one| one.status == 200)) {
            return Ok(());
        }
    }
    Err("the tenants were not put in force".into())
}

/// No fault: requests beside those of a fleet without duties, and every try in the report, also those of a time in
/// which nobody could reach the control plane.
pub fn calm(fleet: &mut Fleet, figures: &mut Figures, plain: [f64; 2], long: bool) -> Result<()> {
    let mut answers = load(fleet, CALM);
    let duties = times(&answers);
    for (place, name) in ["p50", "p99"].into_iter().enumerate() {
        figures.tell(&format!("{name}_without_duties_ms"), format!("{:.2}", plain[place]));
        figures.tell(&format!("{name}_with_duties_ms"), format!("{:.2}", duties[place]));
    }
    // In a few seconds on a busy machine the slowest of a hundred tells of the machine: the long form judges that.
    let judged = if long { 1 } else { 0 };
    figures.at_most("times_of_without", duties[judged].max(5.0) / plain[judged].max(5.0), 1.5);
    fleet.ingresses.iter().for_each(|ingress| ingress.control_link.cut());
    let cut_off = load(fleet, LENGTH * 2);
    fleet.ingresses.iter().for_each(|ingress| ingress.control_link.reconnect());
    let served = |list: &[Answered]| list.iter().filter(|one| one.status == 200).count();
    let all: usize = cut_off.iter().map(|(_, list)| list.len()).sum();
    let good: usize = cut_off.iter().map(|(_, list)| served(list)).sum();
    figures.tell("cut_off_requests", all);
    figures.at_least("cut_off_served", good as f64 / all.max(1) as f64, 1.0);
    answers.extend(cut_off);
    let sent = |tenant: &str| -> u64 {
        answers.iter().filter(|(of, _)| *of == tenant).map(|(_, list)| list.len() as u64).sum()
    };
    let end = Instant::now() + Duration::from_secs(15);
    let mut before: Option<BTreeMap<&str, u64>> = None;
    while Instant::now() < end {
        let history = fleet.history();
        let told: BTreeMap<&str, u64> =
            TENANTS.iter().map(|name| (*name, history::total_tries(history, name))).collect();
        // What came before the calm is in it too: more is found out below.
        let done = TENANTS.iter().all(|name| told[name] >= sent(name));
        let settled = before.as_ref() == Some(&told);
        before = Some(told);
        if done && settled {
            break;
        }
        std::thread::sleep(SPAN * 3);
    }
    let told: u64 = before.into_iter().flat_map(BTreeMap::into_values).sum();
    let sent: u64 = TENANTS.iter().map(|name| sent(name)).sum();
    figures.tell("tries_sent", sent);
    figures.at_least("tries_reported_of_sent", told as f64 / sent.max(1) as f64, 1.0);
    Ok(())
}

//! `prove ratelimit`: three ingresses and one counter, questions over gRPC and requests over HTTP for the same
//! accounts, tries that are repeated through another ingress and the other way, and ingresses that are killed. What
//! passes is tallied here, from the nodes' records and from the answers that askers got, and not by the program's
//! own counts.

use crate::figures::{quantile, Figures};
use crate::grpc;
use crate::process::{build_for_proof, Program, Result};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use violetyoke_ratelimit_proto::Channel;
use violetyoke_standin::counter::Counter;
use violetyoke_standin::node::{Node, Shape};

const INGRESSES: usize = 3;
const ACCOUNTS: usize = 6;
const RATE: f64 = 10.0;
const BURST: f64 = 20.0;
const CEILING_RATE: f64 = 20.0;
const CEILING_BURST: f64 = 40.0;
/// The rule's slack: a tenth or the largest request, whichever is more, and what the ceiling gives in 150 ms.
const SLACK: f64 = CEILING_BURST * 0.1 + CEILING_RATE * 0.150;
/// Each account tries three times its quota, and repeats this part of its tries.
const PAUSE: Duration = Duration::from_millis(33);
const REPEATED: u64 = 30;

struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// What askers saw, and what was sent: shared by all accounts.
#[derive(Default)]
struct Tally {
    /// When a question about a try was answered with OK, at the latest.
    let_in: Vec<(usize, String, Instant)>,
    refusals: Vec<f64>,
    unanswered: u64,
    tries: u64,
    /// Repeats of tries that had been let in, and those of them that passed too.
    repeats: u64,
    repeats_let_in: u64,
}

struct Tier {
    /// Where each ingress serves and answers questions just now.
    at: Vec<(SocketAddr, SocketAddr)>,
    names: bool,
}

pub fn run(long: bool, defence: bool) -> Result<Figures> {
    let program = build_for_proof()?;
    let seed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?.as_millis() as u64;
    // The short form is the same each time; the long one is another each time, and says which.
    let seed = if long { seed } else { 7 };
    let mut figures = Figures::default();
    figures.tell("seed", seed);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let calm = Duration::from_secs(if long { 60 } else { 8 });
    let rough = Duration::from_secs(if long { 540 } else { 8 });
    for (phase, time, kills) in [("calm", calm, false), ("kills", rough, true)] {
        // Counts of their own for each phase: nothing is left over from the one before.
        let counter = Counter::start_at(violetyoke_standin::any_port())?;
        let shape = Shape { workers: 16, queue: 64, service: Duration::from_millis(2), ..Shape::default() };
        let node = Node::start(violetyoke_standin::any_port(), "n", shape)?;
        let files: Vec<String> = (0..INGRESSES).map(|index| file(&node, &counter, index)).collect();
        let began = Instant::now();
        let tally = LocalSet::new().block_on(&runtime, play(&program, &files, seed, time, kills, defence))?;
        judge(&mut figures, phase, &tally, &node, began.elapsed(), kills);
    }
    halves(&mut figures, &program, &runtime, if long { 30 } else { 8 })?;
    Ok(figures)
}

/// Accounts that ask over HTTP only, beside as many that ask half over gRPC: what each kind gets in all.
fn halves(
    figures: &mut Figures,
    program: &Path,
    runtime: &tokio::runtime::Runtime,
    seconds: u64,
) -> Result<()> {
    const EACH: usize = 4;
    let counter = Counter::start_at(violetyoke_standin::any_port())?;
    let shape = Shape { workers: 16, queue: 64, service: Duration::from_millis(2), ..Shape::default() };
    let node = Node::start(violetyoke_standin::any_port(), "n", shape)?;
    let mut services = Vec::new();
    let mut at = Vec::new();
    for index in 0..INGRESSES {
        let asked = crate::process::free_address()?;
        let text = file(&node, &counter, index).replace("ASKED", &asked.to_string());
        let service = Program::serve(program, &text)?;
        at.push((service.address, asked));
        services.push(service);
    }
    let end = Instant::now() + Duration::from_secs(seconds);
    let at = Rc::new(at);
    let account = |number: usize, half: bool| {
        let at = at.clone();
        tokio::task::spawn_local(async move {
            let (mut channels, mut passed, mut number_of_try) = (BTreeMap::new(), 0u64, 0usize);
            let mut next = Instant::now() + PAUSE * number as u32 / (2 * EACH as u32);
            while next < end {
                tokio::time::sleep_until(next.into()).await;
                next += PAUSE;
                let (serves, asked) = at[number_of_try % INGRESSES];
                let name = format!("h{number}-{number_of_try}");
                // By threes, so that each way comes to each ingress.
                let answer = if half && (number_of_try / INGRESSES).is_multiple_of(2) {
                    ask(&mut channels, asked, number, &name, false).await
                } else {
                    request(serves, number, &name, 0, false).await
                };
                number_of_try += 1;
                passed += u64::from(answer == Some(true));
            }
            passed
        })
    };
    let [alone, half] = LocalSet::new().block_on(runtime, async {
        let tasks: Vec<_> = (0..2 * EACH).map(|number| account(number, number % 2 == 1)).collect();
        let mut totals = [0u64; 2];
        for (number, task) in tasks.into_iter().enumerate() {
            totals[number % 2] += task.await?;
        }
        Ok::<_, tokio::task::JoinError>(totals)
    })?;
    figures.tell("halves_passed_over_http_alone", alone);
    figures.tell("halves_passed_half_over_grpc", half);
    let apart = (half as f64 / alone as f64 - 1.0).abs();
    figures.at_most("halves_apart", apart, 0.02);
    Ok(())
}

fn file(node: &Node, counter: &Counter, index: usize) -> String {
    format!(
        r#"[service]
listen = "LISTEN"
ingresses = {INGRESSES}
index = {index}
[[pool]]
name = "reservations"
nodes = [{{ address = "{}" }}]
counter = "{}"
class = [{{ name = "booking-post", effect = "unsafe", aim_ms = 500, deadline_ms = 1000 }}]
[[pool.plan]]
name = "standard"
rate = {RATE}
burst = {BURST}
ceiling_rate = {CEILING_RATE}
ceiling_burst = {CEILING_BURST}
[[route]]
pool = "reservations"
[ratelimit]
listen = "ASKED"
unknown_domain = "over_limit"
[[ratelimit.domain]]
name = "rooms"
unknown_descriptor = "over_limit"
[[ratelimit.domain.descriptor]]
pool = "reservations"
account = "account"
try_key = "try"
"#,
        node.address, counter.address
    )
}

async fn play(
    program: &Path,
    files: &[String],
    seed: u64,
    time: Duration,
    kills: bool,
    names: bool,
) -> Result<Tally> {
    let start = |index: usize| -> Result<(Program, (SocketAddr, SocketAddr))> {
        let asked = crate::process::free_address()?;
        let service = Program::serve(program, &files[index].replace("ASKED", &asked.to_string()))?;
        let address = service.address;
        Ok((service, (address, asked)))
    };
    let (mut services, mut at) = (Vec::new(), Vec::new());
    for index in 0..INGRESSES {
        let (service, addresses) = start(index)?;
        services.push(service);
        at.push(addresses);
    }
    let tier = Rc::new(RefCell::new(Tier { at, names }));
    let tally: Rc<RefCell<Tally>> = Rc::default();
    let end = Instant::now() + time;
    let accounts: Vec<_> = (0..ACCOUNTS)
        .map(|account| {
            let random = Random(seed ^ ((account as u64 + 1) * 0x9e37_79b9));
            tokio::task::spawn_local(one_account(account, random, tier.clone(), tally.clone(), end))
        })
        .collect();
    let mut random = Random(seed);
    while kills && Instant::now() + Duration::from_secs(1) < end {
        tokio::time::sleep(Duration::from_millis(300 + random.below(700))).await;
        let index = random.below(INGRESSES as u64) as usize;
        // Killed outright, and started again from nothing.
        services.remove(index);
        let (service, addresses) = start(index)?;
        services.insert(index, service);
        tier.borrow_mut().at[index] = addresses;
    }
    for account in accounts {
        account.await?;
    }
    drop(services);
    Ok(tally.take())
}

async fn one_account(
    account: usize,
    mut random: Random,
    tier: Rc<RefCell<Tier>>,
    tally: Rc<RefCell<Tally>>,
    end: Instant,
) {
    let mut channels: BTreeMap<SocketAddr, Channel> = BTreeMap::new();
    let mut next = Instant::now();
    let mut number = 0;
    while next < end {
        tokio::time::sleep_until(next.into()).await;
        next += PAUSE;
        number += 1;
        let name = format!("a{account}-t{number}");
        tally.borrow_mut().tries += 1;
        let times = if random.below(100) < REPEATED { 2 } else { 1 };
        let first = random.below(INGRESSES as u64) as usize;
        let over_grpc = random.below(2) == 0;
        let mut before = None;
        for time in 0..times {
            // The repeat comes through another ingress and the other way.
            let index = (first + time) % INGRESSES;
            let (serves, asked, names) = {
                let tier = tier.borrow();
                (tier.at[index].0, tier.at[index].1, tier.names)
            };
            let began = Instant::now();
            let answer = if over_grpc == (time == 0) {
                ask(&mut channels, asked, account, &name, names).await
            } else {
                request(serves, account, &name, time, names).await
            };
            let mut tally = tally.borrow_mut();
            if before == Some(true) && answer.is_some() {
                tally.repeats += 1;
                tally.repeats_let_in += u64::from(answer == Some(true));
            }
            before = answer;
            match answer {
                Some(true) => tally.let_in.push((account, name.clone(), Instant::now())),
                Some(false) => tally.refusals.push(began.elapsed().as_secs_f64() * 1e3),
                None => tally.unanswered += 1,
            }
        }
    }
}

/// Whether the question was answered with OK; none: it was not answered.
async fn ask(
    channels: &mut BTreeMap<SocketAddr, Channel>,
    address: SocketAddr,
    account: usize,
    name: &str,
    names: bool,
) -> Option<bool> {
    let account = format!("a{account}");
    let mut entries = vec![("account", account.as_str())];
    if names {
        entries.push(("try", name));
    }
    let channel = match channels.get(&address).filter(|channel| !channel.is_closed()) {
        Some(channel) => channel.clone(),
        None => {
            let channel = grpc::channel(address).await.ok()?;
            channels.insert(address, channel.clone());
            channel
        }
    };
    grpc::ask(&channel, grpc::question(&entries)).await
}

/// Whether the request was served; none: it was not answered.
async fn request(address: SocketAddr, account: usize, name: &str, time: usize, names: bool) -> Option<bool> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let named = if names { format!("X-Try: {name}\r\n") } else { String::new() };
    let text = format!(
        "POST /bookings HTTP/1.1\r\nHost: booking.example.org\r\nX-Account: a{account}\r\nReq-Id: {name}-{time}\r\n\
         {named}Connection: close\r\nContent-Length: 6\r\n\r\nroom=4"
    );
    stream.write_all(text.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    tokio::time::timeout(Duration::from_secs(2), stream.read_to_end(&mut answer)).await.ok()?.ok()?;
    let status: u16 = std::str::from_utf8(&answer).ok()?.split(' ').nth(1)?.parse().ok()?;
    match status {
        200 => Some(true),
        429 | 503 => Some(false),
        _ => None,
    }
}

fn judge(figures: &mut Figures, phase: &str, tally: &Tally, node: &Node, took: Duration, kills: bool) {
    // What passed: a question that was let in, and a booking that a node worked on, each try once.
    let mut passed: Vec<(Instant, usize, String)> =
        tally.let_in.iter().map(|(account, name, at)| (*at, *account, name.clone())).collect();
    for execution in node.executions() {
        let Some((name, _)) = execution.id.rsplit_once('-') else { continue };
        let account =
            name.strip_prefix('a').and_then(|rest| rest.split('-').next()).and_then(|text| text.parse().ok());
        if let Some(account) = account {
            passed.push((execution.started, account, name.to_string()));
        }
    }
    passed.sort();
    let (mut seen, mut distinct) = (BTreeSet::new(), [0.0; ACCOUNTS]);
    let mut levels = [(0.0f64, None::<Instant>); ACCOUNTS];
    let mut highest = 0.0f64;
    for (at, account, name) in passed {
        if !seen.insert(name) {
            continue;
        }
        distinct[account] += 1.0;
        let (level, since) = &mut levels[account];
        let elapsed = since.map_or(0.0, |since| at.duration_since(since).as_secs_f64());
        *level = (*level - elapsed * CEILING_RATE).max(0.0) + 1.0;
        *since = Some(at);
        highest = highest.max(*level);
    }
    figures.tell(&format!("{phase}_tries"), tally.tries);
    figures.tell(&format!("{phase}_unanswered"), tally.unanswered);
    figures.at_most(&format!("{phase}_highest_above_ceiling"), highest, CEILING_BURST + SLACK);
    let mut refusals = tally.refusals.clone();
    figures.tell(&format!("{phase}_refusals"), refusals.len());
    figures.at_most(&format!("{phase}_refusal_p99_ms"), quantile(&mut refusals, 0.99), 250.0);
    let quota = BURST + RATE * took.as_secs_f64();
    let least = distinct.iter().fold(f64::INFINITY, |least, one| least.min(*one)) / quota;
    let most = distinct.iter().fold(0.0f64, |most, one| most.max(*one)) / quota;
    figures.tell(&format!("{phase}_most_passed_of_quota"), format!("{most:.3}"));
    if kills {
        figures.tell(&format!("{phase}_least_passed_of_quota"), format!("{least:.3}"));
    } else {
        // A try that is known to be counted passes wherever it comes again; one that is not is decided anew, and
        // finds the quota used up more often than not.
        let passed = tally.repeats_let_in as f64 / tally.repeats as f64;
        figures.at_least(&format!("{phase}_repeats_that_pass_like_their_first"), passed, 0.95);
        figures.at_least(&format!("{phase}_least_passed_of_quota"), least, 0.9);
        figures.at_most(&format!("{phase}_unanswered_tries"), tally.unanswered as f64, 0.0);
    }
}

//! The command line: verbs, options, and what each prints.

use crate::calls::{call, Answer};
use crate::capacity::{gather, table};
use crate::plan::Plan;
use crate::store::Inspected;
use bytes::Bytes;
use lexopt::prelude::*;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use violetyoke_api::calls::Call;
use violetyoke_api::Configuration;

pub const HELP: &str = "violetyoke-ctl VERB [OPTIONS]

What a change would move, and the operators' calls.

  plan FILE               what FILE would change of the configuration in force
  check FILE              whether FILE is a configuration that would be taken
  get                     the configuration in force, as it was sent
  put FILE                sends FILE; what it changes is told first
  evacuate ZONE           nothing more is sent to the backends of a zone
  restore ZONE            takes that back
  store FOLDER            what a store's disk holds, offline; with --configuration, that alone
  capacity                what each backend was given and has shown, gathered from edges

  --control ADDRESS       a core machine's address for operators; several may be given
  --edge ADDRESS          capacity: an edge's `ready` address; several may be given
  --from FILE             plan: against this file, not against the running system
  --within SECONDS        how long a clear answer is waited for (20)
  --configuration         store: the configuration that it holds, as it was sent
  --json                  for programs
  --help                  this text

Exit status: 0 done, or would be; 1 refused, or would have no effect; 2 the command line is wrong;
3 no clear answer: it may be in force or may not.";

/// What was asked for.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Wanted {
    pub verb: Option<String>,
    pub operand: Option<String>,
    pub control: Vec<SocketAddr>,
    pub edge: Vec<SocketAddr>,
    pub from: Option<PathBuf>,
    pub within: Duration,
    pub json: bool,
    pub configuration: bool,
    pub help: bool,
}

/// What a verb ended with.
#[derive(Debug, PartialEq, Eq)]
pub enum Ended {
    Done,
    Refused(String),
    Wrong(String),
    Unclear(String),
}

impl Ended {
    pub fn status(&self) -> u8 {
        match self {
            Ended::Done => 0,
            Ended::Refused(_) => 1,
            Ended::Wrong(_) => 2,
            Ended::Unclear(_) => 3,
        }
    }
}

/// Reads the command line; options may stand before and after the verb.
pub fn read(mut parser: lexopt::Parser) -> Result<Wanted, lexopt::Error> {
    let mut wanted = Wanted { within: Duration::from_secs(20), ..Wanted::default() };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("control") => wanted.control.push(parser.value()?.parse()?),
            Long("edge") => wanted.edge.push(parser.value()?.parse()?),
            Long("from") => wanted.from = Some(parser.value()?.into()),
            Long("within") => wanted.within = Duration::from_secs(parser.value()?.parse()?),
            Long("configuration") => wanted.configuration = true,
            Long("json") => wanted.json = true,
            Long("help") | Short('h') => wanted.help = true,
            Value(word) if wanted.verb.is_none() => wanted.verb = Some(word.string()?),
            Value(word) if wanted.operand.is_none() => wanted.operand = Some(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(wanted)
}

/// Does what was asked; what it has to say goes to `out`.
pub async fn run(wanted: &Wanted, out: &mut dyn Write) -> Ended {
    match act(wanted, out).await {
        Ok(()) => Ended::Done,
        Err(ended) => ended,
    }
}

fn say(out: &mut dyn Write, text: &str) -> Result<(), Ended> {
    // Whoever reads may have had enough: a closed pipe is no failure.
    match writeln!(out, "{text}") {
        Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => Err(Ended::Wrong(error.to_string())),
        _ => Ok(()),
    }
}

async fn act(wanted: &Wanted, out: &mut dyn Write) -> Result<(), Ended> {
    let operand =
        || wanted.operand.as_deref().ok_or_else(|| Ended::Wrong("a file or a zone is missing".into()));
    match wanted.verb.as_deref() {
        Some("check") => {
            let configuration = parse(&file(Path::new(operand()?))?)?;
            let counts =
                (configuration.routes.len(), configuration.services.len(), configuration.tenants.len());
            let version = configuration.version;
            say(
                out,
                &format!(
                    "version {version}: {} routes, {} services, {} tenants",
                    counts.0, counts.1, counts.2
                ),
            )
        }
        Some("plan") => {
            let plan = plan(wanted, &parse(&file(Path::new(operand()?))?)?).await?;
            tell(wanted, &plan, out)?;
            match plan.takes_effect() {
                true => Ok(()),
                false => Err(Ended::Refused("it would have no effect".into())),
            }
        }
        Some("get") => {
            let answer = order(wanted, Call::ConfigurationRead, None, Bytes::new()).await?;
            say(out, &String::from_utf8_lossy(&answer.body))
        }
        Some("put") => {
            let text = file(Path::new(operand()?))?;
            let new = parse(&text)?;
            tell(wanted, &plan(wanted, &new).await?, out)?;
            order(wanted, Call::ConfigurationReplace, None, Bytes::from(text)).await?;
            say(out, &format!("version {} is acknowledged", new.version))
        }
        Some("evacuate") => {
            order(wanted, Call::EvacuationBegin, Some(operand()?), Bytes::new()).await?;
            say(out, &format!("{} is evacuated", operand()?))
        }
        Some("restore") => {
            order(wanted, Call::EvacuationFinish, Some(operand()?), Bytes::new()).await?;
            say(out, &format!("{} is taken back", operand()?))
        }
        Some("capacity") => capacity(wanted, out).await,
        Some("store") => store(wanted, Path::new(operand()?), out),
        Some(other) => Err(Ended::Wrong(format!("{other}: no such verb"))),
        None => Err(Ended::Wrong("a verb is missing".into())),
    }
}

/// What can't be trusted is said, and is a refusal where nothing else is there.
fn store(wanted: &Wanted, folder: &Path, out: &mut dyn Write) -> Result<(), Ended> {
    let found =
        Inspected::of(folder).map_err(|error| Ended::Wrong(format!("{}: {error}", folder.display())))?;
    let nothing = || Ended::Refused(format!("{}: no state that can be trusted", folder.display()));
    if wanted.configuration {
        return say(out, found.configuration().ok_or_else(nothing)?);
    }
    say(out, &if wanted.json { found.json().to_string() } else { found.text() })?;
    found.newest().map(drop).ok_or_else(nothing)
}

/// Edges that give no answer are named and left out; where none does, there is no clear answer.
async fn capacity(wanted: &Wanted, out: &mut dyn Write) -> Result<(), Ended> {
    if wanted.edge.is_empty() {
        return Err(Ended::Wrong("no --edge was given".into()));
    }
    let mut edges = Vec::new();
    for edge in &wanted.edge {
        let answer = call(&[*edge], Call::Backends, None, Bytes::new(), Duration::ZERO).await;
        let seen = answer.ok().and_then(|answer| serde_json::from_slice(&answer.body).ok());
        match seen {
            Some(seen) => edges.push(seen),
            None => say(out, &format!("{edge}: no answer"))?,
        }
    }
    if edges.is_empty() {
        return Err(Ended::Unclear("no edge gave an answer".into()));
    }
    let rows = gather(&edges);
    if wanted.json {
        let text = serde_json::to_string_pretty(&rows).map_err(|error| Ended::Wrong(error.to_string()))?;
        return say(out, &text);
    }
    table(&rows).iter().try_for_each(|line| say(out, line))
}

fn file(path: &Path) -> Result<Vec<u8>, Ended> {
    std::fs::read(path).map_err(|error| Ended::Wrong(format!("{}: {error}", path.display())))
}

fn parse(text: &[u8]) -> Result<Configuration, Ended> {
    Configuration::parse(text).map_err(|error| Ended::Refused(error.to_string()))
}

/// The plan against a file, or against what is in force; before the first configuration, against nothing.
async fn plan(wanted: &Wanted, new: &Configuration) -> Result<Plan, Ended> {
    let old = match &wanted.from {
        Some(from) => parse(&file(from)?)?,
        None => {
            let answer = ask(wanted, Call::ConfigurationRead, None, Bytes::new()).await?;
            match answer.status {
                404 => Configuration::default(),
                200 => parse(&answer.body)?,
                _ => return Err(refused(&answer)),
            }
        }
    };
    Ok(Plan::between(&old, new))
}

fn tell(wanted: &Wanted, plan: &Plan, out: &mut dyn Write) -> Result<(), Ended> {
    if wanted.json {
        let text = serde_json::to_string_pretty(plan).map_err(|error| Ended::Wrong(error.to_string()))?;
        return say(out, &text);
    }
    plan.lines().iter().try_for_each(|line| say(out, line))
}

async fn ask(wanted: &Wanted, what: Call, of: Option<&str>, body: Bytes) -> Result<Answer, Ended> {
    if wanted.control.is_empty() {
        return Err(Ended::Wrong("no --control was given".into()));
    }
    call(&wanted.control, what, of, body, wanted.within)
        .await
        .map_err(|report| Ended::Unclear(format!("{report:?}")))
}

async fn order(wanted: &Wanted, what: Call, of: Option<&str>, body: Bytes) -> Result<Answer, Ended> {
    let answer = ask(wanted, what, of, body).await?;
    match answer.status {
        200..=299 => Ok(answer),
        _ => Err(refused(&answer)),
    }
}

fn refused(answer: &Answer) -> Ended {
    Ended::Refused(format!("{}: {}", answer.status, String::from_utf8_lossy(&answer.body)))
}

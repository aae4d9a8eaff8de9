//! What each verb does, and what it prints.

use crate::capacity::{summarize, to_table};
use crate::client::{call, CallRequest, Response};
use crate::command_line::{Command, CommandLine};
use crate::error::CommandError;
use crate::plan::Plan;
use crate::store::StoreInspection;
use bytes::Bytes;
use std::io::{self, Write};
use std::path::Path;
use std::time::Duration;
use violetyoke_api::calls::Call;
use violetyoke_api::Configuration;

/// Carries out what the command line asks for, and prints to `out`.
///
/// # Errors
/// When it was not carried out, or nobody knows whether it was.
pub async fn run(line: &CommandLine, out: &mut dyn Write) -> Result<(), CommandError> {
    match line.command()? {
        Command::Check(file) => check(file, out),
        Command::Plan(file) => plan(line, file, out).await,
        Command::Get => {
            let response = send_command(line, &CallRequest::new(Call::ConfigurationRead)).await?;
            print(out, &String::from_utf8_lossy(&response.body))
        }
        Command::Put(file) => put(line, file, out).await,
        Command::Evacuate(zone) => {
            let request = CallRequest { zone: Some(zone), ..CallRequest::new(Call::EvacuationBegin) };
            send_command(line, &request).await?;
            print(out, &format!("{zone} is evacuated"))
        }
        Command::Restore(zone) => {
            let request = CallRequest { zone: Some(zone), ..CallRequest::new(Call::EvacuationFinish) };
            send_command(line, &request).await?;
            print(out, &format!("{zone} is taken back"))
        }
        Command::Capacity => capacity(line, out).await,
        Command::Store(folder) => inspect_store(line, folder, out),
    }
}

fn check(file: &Path, out: &mut dyn Write) -> Result<(), CommandError> {
    let Configuration { version, routes, services, tenants, .. } = Configuration::parse(&read(file)?)?;
    let (routes, services, tenants) = (routes.len(), services.len(), tenants.len());
    print(out, &format!("version {version}: {routes} routes, {services} services, {tenants} tenants"))
}

async fn plan(line: &CommandLine, file: &Path, out: &mut dyn Write) -> Result<(), CommandError> {
    let plan = make_plan(line, &Configuration::parse(&read(file)?)?).await?;
    print_plan(line, &plan, out)?;
    if plan.takes_effect() {
        Ok(())
    } else {
        Err(CommandError::NoEffect)
    }
}

async fn put(line: &CommandLine, file: &Path, out: &mut dyn Write) -> Result<(), CommandError> {
    let text = read(file)?;
    let configuration = Configuration::parse(&text)?;
    print_plan(line, &make_plan(line, &configuration).await?, out)?;
    let request = CallRequest { body: Bytes::from(text), ..CallRequest::new(Call::ConfigurationReplace) };
    send_command(line, &request).await?;
    print(out, &format!("version {} is acknowledged", configuration.version))
}

/// The plan against the file of `--from`, else against what is in force; before the first configuration, against an
/// empty one.
async fn make_plan(line: &CommandLine, new: &Configuration) -> Result<Plan, CommandError> {
    let old = match &line.from {
        Some(from) => Configuration::parse(&read(from)?)?,
        None => {
            let response = send(line, &CallRequest::new(Call::ConfigurationRead)).await?;
            match response.status {
                404 => Configuration::default(),
                200 => Configuration::decode(&response.body)?,
                _ => return Err(rejected(&response)),
            }
        }
    };
    Ok(Plan::between(&old, new))
}

fn print_plan(line: &CommandLine, plan: &Plan, out: &mut dyn Write) -> Result<(), CommandError> {
    if line.json {
        return print(out, &serde_json::to_string_pretty(plan)?);
    }
    plan.lines().iter().try_for_each(|text| print(out, text))
}

/// Edges that don't report are named and left out.
async fn capacity(line: &CommandLine, out: &mut dyn Write) -> Result<(), CommandError> {
    if line.edge_addresses.is_empty() {
        return Err(CommandError::MissingEdgeAddress);
    }
    let mut reports = Vec::new();
    for edge in &line.edge_addresses {
        let response = call(&[*edge], &CallRequest::new(Call::Backends), Duration::ZERO).await;
        match response.ok().and_then(|response| serde_json::from_slice(&response.body).ok()) {
            Some(report) => reports.push(report),
            None => print(out, &format!("{edge}: no answer"))?,
        }
    }
    if reports.is_empty() {
        return Err(CommandError::NoEdgeReport);
    }
    let summaries = summarize(&reports);
    if line.json {
        return print(out, &serde_json::to_string_pretty(&summaries)?);
    }
    to_table(&summaries).iter().try_for_each(|text| print(out, text))
}

/// What can't be trusted is printed too, and is an error where nothing else is there.
fn inspect_store(line: &CommandLine, folder: &Path, out: &mut dyn Write) -> Result<(), CommandError> {
    let inspected = StoreInspection::read(folder)
        .map_err(|source| CommandError::Unreadable { path: folder.to_owned(), source })?;
    let nothing = || CommandError::NoTrustedState(folder.to_owned());
    if line.configuration_only {
        return print(out, inspected.configuration().ok_or_else(nothing)?);
    }
    print(out, &if line.json { inspected.to_json().to_string() } else { inspected.to_text() })?;
    inspected.newest().map(drop).ok_or_else(nothing)
}

fn print(out: &mut dyn Write, text: &str) -> Result<(), CommandError> {
    match writeln!(out, "{text}") {
        // Whoever reads may have had enough: a closed pipe is no failure.
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(CommandError::Output(error)),
        _ => Ok(()),
    }
}

fn read(file: &Path) -> Result<Vec<u8>, CommandError> {
    std::fs::read(file).map_err(|source| CommandError::Unreadable { path: file.to_owned(), source })
}

/// A conclusive response, whether it accepts or rejects.
async fn send(line: &CommandLine, request: &CallRequest<'_>) -> Result<Response, CommandError> {
    if line.control_addresses.is_empty() {
        return Err(CommandError::MissingControlAddress);
    }
    call(&line.control_addresses, request, line.within).await.map_err(CommandError::Inconclusive)
}

/// A response that accepts.
async fn send_command(line: &CommandLine, request: &CallRequest<'_>) -> Result<Response, CommandError> {
    let response = send(line, request).await?;
    match response.status {
        200..=299 => Ok(response),
        _ => Err(rejected(&response)),
    }
}

fn rejected(response: &Response) -> CommandError {
    let body = String::from_utf8_lossy(&response.body).into_owned();
    CommandError::Rejected { status: response.status, body }
}

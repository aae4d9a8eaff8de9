//! Plays the decision module on the simulator's wire: batches on standard input, one reply each on
//! standard output. Hosts many instances, which share nothing. Decides nothing itself.

#![allow(clippy::expect_used, reason = "not yet revised for readers: see docs/ROADMAP.md")]

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use violetyoke_decision::interface::Action;
use violetyoke_decision::Gateway;
use violetyoke_sim::wire::{self, Decoder, Input, WireError};

fn main() -> ExitCode {
    match drill(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("nettlehub-drill: {error}");
            ExitCode::FAILURE
        }
    }
}

fn drill(input: &mut impl Read, output: &mut impl Write) -> Result<(), Box<dyn std::error::Error>> {
    let mut decoder = Decoder::default();
    let mut gateways: BTreeMap<u32, Gateway> = BTreeMap::new();
    let mut body = Vec::new();
    while let Some(header) = header(input)? {
        let (length, ..) = wire::batch_header(&header);
        body.clear();
        input.take(length as u64).read_to_end(&mut body)?;
        if body.len() < length {
            return Err(
                WireError(format!("input ends {} bytes before its frame", length - body.len())).into()
            );
        }
        let batch = decoder.batch(&header, &body)?;
        let mut replies: Vec<(u32, Vec<Action>)> = Vec::new();
        for (instance, input) in batch.inputs {
            match input {
                Input::Start { seed, settings } => {
                    gateways.insert(instance, Gateway::new(*settings, seed));
                }
                Input::Stop => {
                    gateways.remove(&instance);
                    replies.retain(|(owner, _)| *owner != instance);
                }
                Input::Event(event) => {
                    let gateway = gateways
                        .get_mut(&instance)
                        .ok_or_else(|| WireError(format!("an event for instance {instance}, not started")))?;
                    if replies.last().is_none_or(|(last, _)| *last != instance) {
                        replies.push((instance, Vec::new()));
                    }
                    let actions = &mut replies.last_mut().expect("a reply was just pushed").1;
                    gateway.handle(batch.now, event, actions);
                }
            }
        }
        output.write_all(&wire::reply(batch.number, &replies))?;
        output.flush()?;
    }
    Ok(())
}

/// The next header, or none at a clean end of input.
fn header(input: &mut impl Read) -> Result<Option<[u8; wire::BATCH_HEADER]>, Box<dyn std::error::Error>> {
    let mut bytes = Vec::new();
    input.take(wire::BATCH_HEADER as u64).read_to_end(&mut bytes)?;
    match bytes.len() {
        0 => Ok(None),
        wire::BATCH_HEADER => Ok(Some(bytes.try_into().expect("the length was just checked"))),
        got => Err(WireError(format!("input ends after {got} bytes of a header")).into()),
    }
}

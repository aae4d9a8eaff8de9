//! The main loop: reads batches, passes their events to the instances and writes replies, until the input ends.

use crate::batch::{Batch, BatchHeader, Decoder, Input, InstanceInput, BATCH_HEADER_BYTES};
use crate::error::WireError;
use crate::reply::{encode_reply, InstanceActions};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use violetyoke_decision::interface::Action;
use violetyoke_decision::Gateway;

/// Handles batches until the input ends between two of them.
///
/// # Errors
/// On a failed stream, and on the first malformed frame: the protocol has no means to resynchronize.
pub fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), WireError> {
    let mut decoder = Decoder::default();
    let mut instances = Instances::default();
    let mut body = Vec::new();
    while let Some(header) = read_header(input)? {
        body.clear();
        input.take(header.length as u64).read_to_end(&mut body)?;
        if body.len() < header.length {
            return Err(WireError::TruncatedBatch { missing: header.length - body.len() });
        }
        let batch = decoder.decode(&header, &body)?;
        let number = batch.number;
        let replies = instances.handle(batch)?;
        output.write_all(&encode_reply(number, &replies))?;
        output.flush()?;
    }
    Ok(())
}

/// Reads the next header. `None`: the input has ended.
fn read_header(input: &mut impl Read) -> Result<Option<BatchHeader>, WireError> {
    let mut bytes = Vec::with_capacity(BATCH_HEADER_BYTES);
    input.take(BATCH_HEADER_BYTES as u64).read_to_end(&mut bytes)?;
    if bytes.is_empty() {
        return Ok(None);
    }
    match <&[u8; BATCH_HEADER_BYTES]>::try_from(bytes.as_slice()) {
        Ok(bytes) => Ok(Some(BatchHeader::from(bytes))),
        Err(_) => Err(WireError::TruncatedHeader { received: bytes.len() }),
    }
}

/// The running instances by number.
#[derive(Default)]
struct Instances {
    gateways: BTreeMap<u32, Gateway>,
}

impl Instances {
    /// Passes each input to its instance, in order. Actions of an instance that is stopped in this batch are
    /// dropped.
    fn handle(&mut self, batch: Batch) -> Result<Vec<InstanceActions>, WireError> {
        let mut replies: Vec<InstanceActions> = Vec::new();
        for InstanceInput { instance, input } in batch.inputs {
            match input {
                Input::Start { seed, settings } => {
                    self.gateways.insert(instance, Gateway::new(*settings, seed));
                }
                Input::Stop => {
                    self.gateways.remove(&instance);
                    replies.retain(|reply| reply.instance != instance);
                }
                Input::Event(event) => {
                    let gateway = self.gateways.get_mut(&instance).ok_or(WireError::NotStarted(instance))?;
                    gateway.handle(batch.now, event, actions_of(instance, &mut replies));
                }
            }
        }
        Ok(replies)
    }
}

/// The list to which an instance's actions are appended: the last reply if it is of the same instance,
/// otherwise a new one.
fn actions_of(instance: u32, replies: &mut Vec<InstanceActions>) -> &mut Vec<Action> {
    let continues = replies.last().is_some_and(|last| last.instance == instance);
    let index = if continues { replies.len() - 1 } else { replies.len() };
    if !continues {
        replies.push(InstanceActions { instance, actions: Vec::new() });
    }
    &mut replies[index].actions
}

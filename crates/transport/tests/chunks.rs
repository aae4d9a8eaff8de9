//! The division of messages into frames, their reassembly, and invalid frames.

use bytes::{Bytes, BytesMut};
use tokio_util::codec::Decoder;
use violetyoke_transport::chunks::{
    append_keepalive, frame_decoder, Assembler, OutgoingMessage, SendQueue, CHUNK, MAX_MESSAGE_BYTES,
};
use violetyoke_transport::error::FrameError;

fn ordered(payload: Bytes) -> OutgoingMessage {
    OutgoingMessage { payload, is_urgent: false }
}

fn received(mut bytes: BytesMut) -> Result<Vec<Bytes>, Box<dyn std::error::Error>> {
    let (mut decoder, mut assembler, mut messages) = (frame_decoder(), Assembler::default(), Vec::new());
    while let Some(frame) = decoder.decode(&mut bytes)? {
        messages.extend(assembler.push(frame)?);
    }
    Ok(messages)
}

#[test]
fn messages_of_sizes_around_that_of_a_chunk_are_reassembled() {
    for size in [1, 2, CHUNK - 1, CHUNK, CHUNK + 1, 2 * CHUNK, 2 * CHUNK + 1, 5 * CHUNK + 17] {
        let payload = Bytes::from((0..size).map(|index| index as u8).collect::<Vec<u8>>());
        let (mut queue, mut out) = (SendQueue::default(), BytesMut::new());
        queue.push(ordered(payload.clone()));
        append_keepalive(&mut out);
        while queue.append_next(&mut out) {
            append_keepalive(&mut out);
        }
        assert!(queue.is_empty(), "{size}");
        assert!(received(out).expect("frames") == [payload], "{size}");
    }
}

#[test]
fn urgent_message_is_sent_between_the_chunks_of_a_large_one() {
    let (mut queue, mut out) = (SendQueue::default(), BytesMut::new());
    let large = Bytes::from(vec![7; 3 * CHUNK]);
    queue.push(ordered(large.clone()));
    assert!(queue.append_next(&mut out));
    queue.push(ordered(Bytes::from_static(b"in order")));
    queue.push(OutgoingMessage { payload: Bytes::from_static(b"urgent"), is_urgent: true });
    while queue.append_next(&mut out) {}
    let messages = received(out).expect("frames");
    assert!(messages == [Bytes::from_static(b"urgent"), large, Bytes::from_static(b"in order")]);
}

#[test]
fn message_longer_than_the_maximum_is_dropped_and_others_are_sent() {
    let (mut queue, mut out) = (SendQueue::default(), BytesMut::new());
    queue.push(ordered(Bytes::from(vec![0; MAX_MESSAGE_BYTES + 1])));
    queue.push(ordered(Bytes::from_static(b"next")));
    while queue.append_next(&mut out) {}
    assert!(received(out).expect("frames") == [Bytes::from_static(b"next")]);
}

#[test]
fn unknown_kinds_too_long_frames_and_too_many_chunks_are_errors() {
    let frame = |kind: u8, length: usize| {
        let mut bytes = BytesMut::from((length as u32 + 1).to_be_bytes().as_slice());
        bytes.extend_from_slice(&[kind]);
        bytes.resize(length + 5, 0);
        bytes
    };
    assert!(received(frame(3, 10)).is_err());
    assert!(received(frame(0, CHUNK + 1)).is_err());
    let mut assembler = Assembler::default();
    let result = (0..=MAX_MESSAGE_BYTES / CHUNK).try_for_each(|_| {
        let mut chunk = BytesMut::from([1].as_slice());
        chunk.resize(CHUNK + 1, 0);
        assembler.push(chunk).map(drop)
    });
    assert_eq!(result, Err(FrameError::MessageTooLong), "chunks beyond the maximum message size");
}

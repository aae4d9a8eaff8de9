//! The encoding of frames. A frame starts with the length of the rest as four bytes in big-endian order. The next byte tells
//! whether the frame contains a complete message (0), a chunk that is followed by others (1), or the last chunk (2).

use bytes::{Bytes, BytesMut};
use tokio_util::codec::Decoder;
use violetyoke_transport::chunks::{
    append_keepalive, frame_decoder, Assembler, OutgoingMessage, SendQueue, CHUNK,
};

fn frames_of(payload: Vec<u8>) -> BytesMut {
    let mut queue = SendQueue::default();
    queue.push(OutgoingMessage { payload: Bytes::from(payload), is_urgent: false });
    let mut frames = BytesMut::new();
    while queue.append_next(&mut frames) {}
    frames
}

fn messages_in(mut frames: BytesMut) -> Vec<Bytes> {
    let (mut decoder, mut assembler) = (frame_decoder(), Assembler::default());
    let mut messages = Vec::new();
    while let Some(frame) = decoder.decode(&mut frames).expect("frames") {
        messages.extend(assembler.push(frame).expect("a known kind of frame"));
    }
    messages
}

#[test]
fn a_short_message_is_one_frame() {
    let expected: &[u8] = &[0, 0, 0, 4, 0, 7, 8, 9];

    assert_eq!(frames_of(vec![7, 8, 9]), expected);
    assert_eq!(messages_in(BytesMut::from(expected)), [Bytes::from_static(&[7, 8, 9])]);
}

#[test]
fn a_long_message_is_several_frames() {
    let payload: Vec<u8> = (0..2 * 32_768 + 3).map(|index| (index % 251) as u8).collect();
    let [first, second, last] = [&payload[..32_768], &payload[32_768..65_536], &payload[65_536..]];
    let expected: Vec<u8> =
        [&[0, 0, 0x80, 1, 1], first, &[0, 0, 0x80, 1, 1], second, &[0, 0, 0, 4, 2], last].concat();

    assert_eq!(CHUNK, 32_768);
    assert!(frames_of(payload.clone()) == expected, "other frames");
    assert_eq!(messages_in(BytesMut::from(&expected[..])), [Bytes::from(payload)]);
}

#[test]
fn a_keepalive_is_an_empty_frame() {
    let mut frames = BytesMut::new();
    append_keepalive(&mut frames);

    assert_eq!(&frames[..], [0, 0, 0, 0]);
    assert!(messages_in(frames).is_empty());
}

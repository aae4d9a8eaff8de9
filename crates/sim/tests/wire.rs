//! Frames of the simulator's protocol, byte for byte, and the errors of malformed ones.

#![cfg(test)]

use violetyoke_decision::interface::{
    Action, AttemptEnd, BackendEntry, Condition, Event, ListKind, Outcome, RejectionReason, Request,
};
use violetyoke_sim::{
    encode_reply, Batch, BatchHeader, Decoder, Input, InstanceActions, WireError, BATCH_HEADER_BYTES,
};

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits.chunks(2).map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap()).collect()
}

fn padded(hex: &str, size: usize) -> Vec<u8> {
    let mut record = bytes(hex);
    record.resize(size, 0);
    record
}

fn batch(decoder: &mut Decoder, records: &[&str], tail: &[u8]) -> Result<Batch, WireError> {
    let mut body: Vec<u8> = records.iter().flat_map(|hex| padded(hex, 40)).collect();
    body.extend_from_slice(tail);
    let mut header = Vec::new();
    header.extend((body.len() as u32).to_le_bytes());
    header.extend((records.len() as u32).to_le_bytes());
    header.extend(8_412_250_u64.to_le_bytes());
    header.extend(12_u32.to_le_bytes());
    let header: [u8; BATCH_HEADER_BYTES] = header.try_into().unwrap();
    decoder.decode(&BatchHeader::from(&header), &body)
}

fn events(records: &[&str], tail: &[u8]) -> Vec<Input> {
    let batch = batch(&mut Decoder::default(), records, tail).unwrap();
    assert!(batch.inputs.iter().all(|input| input.instance == 3));
    batch.inputs.into_iter().map(|input| input.input).collect()
}

const INSTANCE_3: &str = "05 03000000";

#[test]
fn events_are_decoded_as_in_the_examples_of_the_protocol() {
    let request_record = "08 c4913a5d 0100 0000 00004040 640ad2557c3bf091 0000803f 80a90300 00000040 0000";
    let request = Request {
        id: 0x5d3a_91c4,
        class: 0,
        plan: 0,
        customer: 0x91f0_3b7c_55d2_0a64,
        units: 2.0,
        gateway_count: 3.0,
        first_gateway: 1.0,
        timeout: 240_000,
        is_retry: false,
        is_write: false,
    };
    let attempt_end_record = "0d c4913a5d 0300 01 00 074a1203 44480000 0a 5600 01 0000e040";
    let end = AttemptEnd {
        request: 0x5d3a_91c4,
        attempt: 0,
        backend: 0x0312_4a07,
        outcome: Outcome::Ok,
        elapsed: 18_500,
        closed: true,
        actual_units: 3.0,
        usage: 0x56,
        report: vec![7.0],
    };
    let records = [
        INSTANCE_3,
        request_record,
        "03 4d00000000000000",
        "09 192b6f0e",
        attempt_end_record,
        "07 90f6890000000000 0a 00001842 66080000",
        "0b c4913a5d 074a1203 00 22240000",
        "04 f211902c 0a 78050000 01 0000e040",
        "02",
    ];
    let expected = [
        Event::Request(request),
        Event::Timer { token: 77 },
        Event::Abandoned { request: 0x0e6f_2b19 },
        Event::AttemptEnded(end),
        Event::CounterAnswered { counter_id: 0x0089_f690, outcome: Outcome::Ok, total: 38.0, elapsed: 2150 },
        Event::ResponseStarted { request: 0x5d3a_91c4, attempt: 0, backend: 0x0312_4a07, elapsed: 9250 },
        Event::Probed { backend: 0x2c90_11f2, outcome: Outcome::Ok, elapsed: 1400, report: vec![7.0] },
    ];
    let mut expected: Vec<Input> = expected.into_iter().map(Input::Event).collect();
    expected.push(Input::Stop);
    assert_eq!(events(&records, &[]), expected);
}

#[test]
fn peer_messages_and_lists_are_decoded_from_the_tail() {
    let data = events(&[INSTANCE_3, "0c 02000000 00000000 04000000"], b"hi 7");
    assert_eq!(data, [Input::Event(Event::PeerMessage { from: 2, data: b"hi 7".to_vec() })]);
    let tail = bytes(
        "074a1203 0000 00 0000 01 0000803f 0000000000000000
         f211902c 0100 00 0000 01 0000c03f 20145d0000000000",
    );
    let list =
        events(&[INSTANCE_3, "01 00000000 00000000 02000000", "06 02 2900000000000000 00000000"], &tail);
    let entry = |id, zone, weight, started_at| BackendEntry {
        id,
        zone,
        condition: Condition::Ready,
        weight,
        started_at,
        ..BackendEntry::default()
    };
    let entries = vec![entry(0x0312_4a07, 0, 1.0, 0), entry(0x2c90_11f2, 1, 1.5, 6_100_000)];
    let expected = Event::Backends { kind: ListKind::Cached, version: 41, entries };
    assert_eq!(list, [Input::Event(expected)]);
}

#[test]
fn lists_are_kept_across_batches_and_replaced_in_the_order_of_records() {
    let mut decoder = Decoder::default();
    let list = "01 07000000 00000000 01000000";
    let first = padded("01000000 0000 00 0000 01 0000803f", 22);
    let second = padded("02000000 0000 00 0000 02 0000803f", 22);
    batch(&mut decoder, &[list], &first).unwrap();
    let read = batch(&mut decoder, &[INSTANCE_3, "06 03 01 00000000000000 07000000", list], &second).unwrap();
    let Input::Event(Event::Backends { entries, .. }) = &read.inputs[0].input else {
        panic!("the event is a list")
    };
    assert_eq!(entries[0].id, 1);
    let read = batch(&mut decoder, &[INSTANCE_3, "06 00 02 00000000000000 07000000"], &[]).unwrap();
    let Input::Event(Event::Backends { entries, .. }) = &read.inputs[0].input else {
        panic!("the event is a list")
    };
    assert_eq!((entries[0].id, entries[0].condition), (2, Condition::Draining));
    let failed = batch(&mut decoder, &[INSTANCE_3, "06 04 02 00000000000000 0f000000"], &[]).unwrap();
    let Input::Event(Event::Backends { kind, .. }) = failed.inputs[0].input else {
        panic!("the event is a list")
    };
    assert_eq!(kind, ListKind::Failed);
}

#[test]
fn each_outcome_is_decoded_from_its_code() {
    let codes = [
        ("0a", Outcome::Ok),
        ("14", Outcome::Error),
        ("1e", Outcome::Full),
        ("28", Outcome::Timeout),
        ("32", Outcome::ConnectFailed),
        ("3c", Outcome::Reset),
        ("46", Outcome::Cancelled),
        ("50", Outcome::Moot),
    ];
    for (code, expected) in codes {
        let read = events(&[INSTANCE_3, &format!("04 f211902c {code} 78050000")], &[]);
        let Input::Event(Event::Probed { outcome, .. }) = read[0] else {
            panic!("the event is the result of a probe")
        };
        assert_eq!(outcome, expected);
    }
    let not_executed: Vec<_> =
        codes.iter().filter(|(_, outcome)| outcome.not_executed()).map(|(code, _)| *code).collect();
    assert_eq!(not_executed, ["1e", "32", "50"]);
}

fn encoded(action: Action) -> (Vec<u8>, Vec<u8>) {
    let frame = encode_reply(12, &[InstanceActions { instance: 3, actions: vec![action] }]);
    assert_eq!(&frame[..4], 2_u32.to_le_bytes());
    assert_eq!(&frame[4..8], ((frame.len() - 12) as u32).to_le_bytes());
    assert_eq!(&frame[8..12], 12_u32.to_le_bytes());
    assert_eq!(frame[12..36], padded("4e 03000000", 24));
    (frame[36..60].to_vec(), frame[60..].to_vec())
}

#[test]
fn actions_are_encoded_as_in_the_examples_of_the_protocol() {
    let (request, backend) = (0x5d3a_91c4, 0x0312_4a07);
    let cases = [
        (Action::Send { request, backend, expires: 8_492_250 }, "41 c4913a5d 074a1203 da94810000000000"),
        (Action::Fail { request: 0x0e6f_2b19, reason: RejectionReason::Attempt }, "43 192b6f0e"),
        (Action::Timer { at: 8_486_522, token: 77 }, "45 7a7e810000000000 4d00000000000000"),
        (Action::Subscribe { on: true }, "4b 01"),
        (Action::Cancel { request, attempt: 0 }, "44 c4913a5d 00"),
        (
            Action::AddToCounter { counter_id: 0x0089_f690, amount: 4.0, ttl: 3_000_000 },
            "4d 90f6890000000000 00008040 c0c62d00",
        ),
        (Action::Probe { backend: 0x2c90_11f2 }, "46 f211902c"),
        (
            Action::Reject { request: 0x0e6f_2b19, retry_after: 250_000, reason: RejectionReason::Quota },
            "42 192b6f0e 90d00300",
        ),
        (Action::CloseIdle { backend: 0x2c90_11f2 }, "47 f211902c"),
        (Action::FetchList, "4c"),
    ];
    for (action, hex) in cases {
        assert_eq!(encoded(action).0, padded(hex, 24), "{hex}");
    }
    let text = |text: &str| text.to_string();
    let tails = [
        (Action::Log { text: text("two servers known") }, "49 00000000 11000000", "two servers known"),
        (
            Action::InternalError { text: text("index out of range") },
            "4a 00000000 12000000",
            "index out of range",
        ),
        (Action::SendPeerMessage { to: None, data: b"hi 7".to_vec() }, "48 ffff 00000000 04000000", "hi 7"),
    ];
    for (action, hex, tail) in tails {
        assert_eq!(encoded(action), (padded(hex, 24), tail.as_bytes().to_vec()));
    }
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    let read = batch(&mut Decoder::default(), &[], &[]).unwrap();
    assert_eq!((read.now, read.number, read.inputs.len()), (8_412_250, 12, 0));
    assert_eq!(encode_reply(1, &[]), bytes("00000000 00000000 01000000"));
}

#[test]
fn errors_of_malformed_frames_name_the_cause() {
    let cases: [(&[&str], &str); 7] = [
        (&[INSTANCE_3, "63"], "unknown event code 99"),
        (&["03 4d00000000000000"], "an event without an instance"),
        (&[INSTANCE_3, "0c 02000000 00000000 04000000"], "4 bytes at 0 reach past a tail of 0 bytes"),
        (&[INSTANCE_3, "06 02 2900000000000000 00000000"], "list number 0 was never sent"),
        (&[INSTANCE_3, "04 f211902c 0b"], "unknown outcome 11"),
        (&["01 10000000"], "list number 16 is out of range"),
        (&[INSTANCE_3, "04 f211902c 0a 78050000 05"], "a load report of 5 values"),
    ];
    for (records, expected) in cases {
        assert_eq!(batch(&mut Decoder::default(), records, &[]).unwrap_err().to_string(), expected);
    }
    let decode = |header: &[u8; BATCH_HEADER_BYTES], body: &[u8]| {
        Decoder::default().decode(&BatchHeader::from(header), body)
    };
    let mut header = [0; BATCH_HEADER_BYTES];
    assert!(matches!(decode(&header, &[1]), Err(WireError::BatchLength { expected: 0, received: 1 })));
    header[4] = 1;
    assert!(matches!(decode(&header, &[]), Err(WireError::RecordCount { records: 1, length: 0 })));
}

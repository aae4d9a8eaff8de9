//! Operators' commands: each response belongs to one request on one connection, and a command times out before its
//! operator's client gives up.

#![cfg(test)]

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use violetyoke_registry::commands::{
    CommandDispatcher, CommandId, CommandRequest, CommandResponse, CompletedCommand, Dispatch,
    StoreConnection, FAILOVER_TIMEOUT, PARTITIONED_RESPONSE_TIMEOUT, RESPONSE_TIMEOUT,
};
use violetyoke_transport::messages::{Command, ControlState, Outcome};

const FIRST: StoreConnection = StoreConnection { store: Ipv4Addr::new(10, 0, 0, 1), generation: 1 };
const SECOND: StoreConnection = StoreConnection { store: Ipv4Addr::new(10, 0, 0, 2), generation: 1 };

fn evacuate(zone: &str) -> Command {
    Command::Evacuate { zone: zone.to_owned(), empty: true }
}

/// The id of the one request that is to be sent.
fn request_id(dispatch: &Dispatch) -> u64 {
    assert_eq!((dispatch.requests.len(), dispatch.timed_out.len()), (1, 0), "{dispatch:?}");
    dispatch.requests[0].request_id
}

fn response(from: StoreConnection, request_id: u64, outcome: Outcome) -> CommandResponse {
    CommandResponse { from, request_id, outcome }
}

fn completed(id: CommandId, outcome: Outcome) -> Option<CompletedCommand> {
    Some(CompletedCommand { id, outcome })
}

#[test]
fn response_counts_only_for_its_own_request_on_its_own_connection() {
    let mut commands = CommandDispatcher::new(7_000);
    let id = commands.submit(1, Command::Read);
    let first = request_id(&commands.dispatch(1, Some(FIRST)));
    assert_eq!(commands.dispatch(2, Some(FIRST)), Dispatch::default(), "sent once on a connection");
    // Another store leads now: the command is sent there, and a late response of the first store completes nothing.
    let second = request_id(&commands.dispatch(100, Some(SECOND)));
    assert_ne!(first, second);
    let stale = Outcome::Read(ControlState { version: 1, ..ControlState::default() });
    assert_eq!(commands.complete(110, response(FIRST, first, stale.clone())), None);
    assert_eq!(
        commands.complete(110, response(FIRST, second, stale.clone())),
        None,
        "a request to another store"
    );
    let earlier = StoreConnection { generation: 0, ..SECOND };
    assert_eq!(commands.complete(110, response(earlier, second, stale)), None, "an earlier connection");
    assert_eq!(commands.complete(110, response(FIRST, first, Outcome::NotLeader)), None);
    assert_eq!(
        commands.dispatch(200, Some(SECOND)),
        Dispatch::default(),
        "a late NotLeader sends nothing again"
    );
    let done = response(SECOND, second, Outcome::Acknowledged);
    assert_eq!(commands.complete(210, done.clone()), completed(id, Outcome::Acknowledged));
    assert_eq!(commands.complete(211, done), None, "completed once");
}

#[test]
fn responses_out_of_order_complete_their_own_commands() {
    let mut commands = CommandDispatcher::new(u64::MAX - 1);
    let ids = [
        commands.submit(1, evacuate("a")),
        commands.submit(1, Command::Read),
        commands.submit(1, evacuate("b")),
    ];
    let requests = commands.dispatch(1, Some(FIRST)).requests.into_iter();
    let requests: Vec<u64> = requests.map(|request| request.request_id).collect();
    assert_eq!(requests, [u64::MAX, 0, 1], "ids wrap around");
    let read = Outcome::Read(ControlState::default());
    assert_eq!(commands.complete(2, response(FIRST, requests[1], read.clone())), completed(ids[1], read));
    let taken = Outcome::VersionTaken;
    assert_eq!(commands.complete(2, response(FIRST, requests[2], taken.clone())), completed(ids[2], taken));
    let acknowledged = Outcome::Acknowledged;
    assert_eq!(
        commands.complete(2, response(FIRST, requests[0], acknowledged.clone())),
        completed(ids[0], acknowledged)
    );
}

#[test]
fn incarnations_of_a_registry_share_no_request_ids() {
    let request_ids = |incarnation: u64| {
        let mut commands = CommandDispatcher::new(incarnation);
        for _ in 0..100 {
            let _id = commands.submit(1, Command::Read);
        }
        let requests = commands.dispatch(1, Some(FIRST)).requests.into_iter();
        requests.map(|request: CommandRequest| request.request_id).collect::<BTreeSet<u64>>()
    };
    assert!(request_ids(0x51f0_a1b2_c3d4_e5f6).is_disjoint(&request_ids(0x0a0b_0c0d_0e0f_1011)));
}

#[test]
fn command_is_sent_again_after_its_connection_ended_or_its_store_ceased_to_lead() {
    let mut commands = CommandDispatcher::new(0);
    let id = commands.submit(1, evacuate("a"));
    let first = request_id(&commands.dispatch(1, Some(FIRST)));
    commands.connection_lost(SECOND);
    assert_eq!(commands.dispatch(2, Some(FIRST)), Dispatch::default(), "another connection ended");
    commands.connection_lost(FIRST);
    let reconnected = StoreConnection { generation: 2, ..FIRST };
    let second = request_id(&commands.dispatch(3, Some(reconnected)));
    assert_ne!(first, second);
    assert_eq!(commands.complete(4, response(reconnected, second, Outcome::NotLeader)), None);
    assert_eq!(commands.dispatch(5, Some(reconnected)), Dispatch::default(), "not sent again at once");
    let third = request_id(&commands.dispatch(60, Some(reconnected)));
    let acknowledged = Outcome::Acknowledged;
    assert_eq!(
        commands.complete(61, response(reconnected, third, acknowledged.clone())),
        completed(id, acknowledged)
    );
}

#[test]
fn command_without_a_response_times_out_before_its_operator_tries_another_registry() {
    let mut commands = CommandDispatcher::new(0);
    let id = commands.submit(1_000, Command::Read);
    let request = request_id(&commands.dispatch(1_000, Some(FIRST)));
    assert!(commands.dispatch(1_000 + RESPONSE_TIMEOUT, Some(FIRST)).timed_out.is_empty());
    assert_eq!(commands.dispatch(1_001 + RESPONSE_TIMEOUT, Some(FIRST)).timed_out, [id]);
    const { assert!(RESPONSE_TIMEOUT < 1_000, "an operator waits a second") };
    let late = response(FIRST, request, Outcome::Acknowledged);
    assert_eq!(commands.complete(2_000, late), None, "a response after the time-out");
}

#[test]
fn commands_time_out_early_while_partitioned_and_wait_during_a_failover() {
    let mut commands = CommandDispatcher::new(0);
    // The leader fails. The next one is known 800 ms later, and is sent the pending command.
    assert_eq!(commands.dispatch(1, Some(FIRST)), Dispatch::default());
    assert_eq!(commands.dispatch(100, None), Dispatch::default());
    let waiting = commands.submit(150, Command::Read);
    assert_eq!(commands.dispatch(800, None), Dispatch::default());
    let request = request_id(&commands.dispatch(900, Some(SECOND)));
    let acknowledged = Outcome::Acknowledged;
    assert_eq!(
        commands.complete(901, response(SECOND, request, acknowledged.clone())),
        completed(waiting, acknowledged.clone())
    );
    // No leader is known for longer than a failover takes: each command times out early until there is one again.
    assert_eq!(commands.dispatch(1_000, None), Dispatch::default());
    let mut now = 1_000 + FAILOVER_TIMEOUT + 1;
    while now < 21_000 {
        let id = commands.submit(now, evacuate("a"));
        assert_eq!(commands.dispatch(now + PARTITIONED_RESPONSE_TIMEOUT, None), Dispatch::default());
        assert_eq!(commands.dispatch(now + PARTITIONED_RESPONSE_TIMEOUT + 1, None).timed_out, [id]);
        now += 1_000;
    }
    // A leader is known again.
    let id = commands.submit(now, Command::Read);
    let request = request_id(&commands.dispatch(now + 10, Some(SECOND)));
    assert_eq!(
        commands.complete(now + 20, response(SECOND, request, acknowledged.clone())),
        completed(id, acknowledged)
    );
}

#[test]
fn cancelled_command_is_not_sent() {
    let mut commands = CommandDispatcher::new(0);
    let id = commands.submit(1, evacuate("a"));
    commands.cancel(id);
    assert_eq!(commands.dispatch(2, Some(FIRST)), Dispatch::default());
}

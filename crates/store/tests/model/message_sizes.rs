//! Messages of a store that takes over: no full state is sent to a store that already has it. Also checks that a voter
//! keeps its vote when it restarts in another zone.

use crate::system::{address, Heartbeats, System};
use violetyoke_store::consensus::{Replica, ReplicaOptions};
use violetyoke_transport::messages::{InitialState, PeerMessage, StoreId};

/// Three stores that have acknowledged a command.
struct Stores {
    system: System,
    leader: usize,
    backup: usize,
    witness: usize,
}

impl Stores {
    fn started() -> Stores {
        let mut system = System::new(3);
        system.settle();
        let leader = system.leader().expect("a leader");
        system.submit(leader, 1);
        system.settle();
        assert_eq!(system.acknowledged_version, 1);
        let has_state = |n: &usize| *n != leader && system.stores[*n].durable.state.version == 1;
        let backup = (0..3).find(has_state).expect("a backup");
        Stores { system, leader, backup, witness: 3 - leader - backup }
    }

    /// A store takes over while it receives messages from only one other store and the old leader receives none.
    fn elect(&mut self, candidate: usize, connected: usize) {
        self.system.elect(candidate, connected);
        let leader = self.leader;
        self.system.in_flight.retain(|message| message.to != leader);
    }

    fn deliver_all(&mut self) {
        self.system.deliver_all(Heartbeats::Dropped);
        self.system.sync_all();
    }

    fn tick(&mut self, n: usize) {
        self.system.now += 50;
        self.system.tick(n, Heartbeats::Dropped);
    }

    /// Messages in flight to a store.
    fn in_flight_to(&self, n: usize) -> impl Iterator<Item = &PeerMessage> {
        let messages = self.system.in_flight.iter().filter(move |message| message.to == n);
        messages.map(|message| &message.envelope.message)
    }
}

#[test]
fn backup_that_takes_over_receives_no_state_and_sends_it_only_to_stores_without_it() {
    let mut stores = Stores::started();
    let (backup, witness) = (stores.backup, stores.witness);
    stores.elect(backup, witness);

    stores.deliver_all();
    let promises: Vec<&PeerMessage> = stores.in_flight_to(backup).collect();
    assert!(matches!(&promises[..], [PeerMessage::Promise { state: None, .. }]), "{promises:?}");
    assert_eq!(stores.system.in_flight.len(), 1);
    stores.tick(backup);
    stores.deliver_all();
    stores.tick(backup);
    stores.system.sync_all();

    let has_full_state = |message: &&PeerMessage| matches!(message, PeerMessage::Accept { state: Some(InitialState::Full(state)), .. } if state.version == 1);
    let full_states = stores.in_flight_to(witness).filter(has_full_state);
    assert_eq!(full_states.count(), 1, "{:?}", stores.system.in_flight);
}

#[test]
fn witness_that_takes_over_receives_the_state_once_and_sends_back_a_revision() {
    let mut stores = Stores::started();
    let (backup, witness) = (stores.backup, stores.witness);
    stores.elect(witness, backup);

    stores.deliver_all();
    let promises: Vec<&PeerMessage> = stores.in_flight_to(witness).collect();
    assert!(matches!(&promises[..], [PeerMessage::Promise { state: Some(_), .. }]), "{promises:?}");
    assert_eq!(stores.system.in_flight.len(), 1);
    stores.deliver_all();
    stores.tick(witness);
    stores.system.sync_all();

    let accepts = stores.in_flight_to(backup).find_map(|message| match message {
        PeerMessage::Accept { state, .. } => Some(state.clone()),
        _ => None,
    });
    assert!(matches!(accepts, Some(Some(InitialState::Promised { .. }))), "{accepts:?}");
    // The backup adopts the new revision, and the witness becomes leader.
    stores.deliver_all();
    stores.deliver_all();
    let backup = &stores.system.stores[backup].durable;
    assert!(stores.system.is_leader(witness) && backup.state.version == 1);
    assert_eq!(backup.state.revision.epoch, backup.config.epoch);
}

#[test]
fn voter_in_another_zone_after_a_restart_keeps_its_vote() {
    let Stores { mut system, leader, .. } = Stores::started();
    for moved in (0..3).filter(|n| *n != leader) {
        let durable = system.stores[moved].durable.clone();
        let id = durable.id;
        let options = ReplicaOptions {
            ip: address(moved),
            zone: format!("moved-{moved}"),
            seeds: (0..3).map(address).collect(),
            fault_tolerance: 1,
            durable,
            new_disk_id: StoreId(99),
            is_bootstrap: false,
        };
        system.stores[moved].replica = Replica::new(options, system.now);
        system.settle();
        let config = &system.stores[leader].durable.config;
        let zones: Vec<&str> =
            config.voters.iter().filter(|voter| voter.id == id).map(|voter| voter.zone.as_str()).collect();
        assert_eq!(zones, [format!("moved-{moved}")]);
        assert_eq!(config.voters.len(), 3);
        assert!(config.previous_voters.is_empty());
        assert_eq!(system.stores[moved].durable.config, *config);
    }
}

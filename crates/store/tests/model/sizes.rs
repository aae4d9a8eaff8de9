//! Three stores at rest, and what one of them sends as it takes over or returns from elsewhere: no state to a store that
//! has it already.

use crate::moment::{begin, ip, Moment, Store};
use violetyoke_store::consensus::{ClientId, DurableState, Event, Replica, ReplicaOptions};
use violetyoke_transport::messages::{Command, InitialState, PeerMessage};

/// Three stores with an acknowledged order, and the primary among them.
fn settled() -> (Moment, usize) {
    let store = |n: usize| Store {
        replica: Some(begin(n, DurableState::default(), 1)),
        kept: DurableState::default(),
        writing: Vec::new(),
    };
    let stores = (0..3).map(store).collect();
    let mut moment = Moment { now: 1, stores, envelopes: Vec::new(), sent: 1, acknowledged: 0, deaths: 0 };
    moment.settle();
    let active = |n: &usize| moment.stores[*n].replica.as_ref().is_some_and(Replica::is_leader);
    let primary = (0..3).find(active).expect("a primary");
    let order = Command::Replace { version: 1, text: "configuration 1".into() };
    moment.handle(primary, Event::Command { client: ClientId(1), command: order }, false);
    moment.settle();
    assert_eq!(moment.acknowledged, 1);
    (moment, primary)
}

/// The messages that `deliver`ing all envelopes leads to.
fn deliver(moment: &mut Moment) -> Vec<(usize, PeerMessage)> {
    for (to, envelope) in std::mem::take(&mut moment.envelopes) {
        moment.handle(to, Event::Message(envelope), false);
    }
    moment.sync_all();
    moment.envelopes.iter().map(|(to, envelope)| (*to, envelope.message.clone())).collect()
}

#[test]
fn a_backup_that_takes_over_is_sent_no_state_and_sends_it_only_where_it_is_missing() {
    let (mut moment, primary) = settled();
    let backup =
        (0..3).find(|n| *n != primary && moment.stores[*n].kept.state.version == 1).expect("a backup");
    let witness = 3 - primary - backup;
    moment.elect(backup, witness);
    moment.envelopes.retain(|(to, _)| *to != primary);
    let promises = deliver(&mut moment);
    assert!(matches!(&promises[..], [(_, PeerMessage::Promise { state: None, .. })]), "{promises:?}");
    moment.now += 50;
    moment.handle(backup, Event::Tick { disk_healthy: true }, false);
    deliver(&mut moment);
    moment.now += 50;
    moment.handle(backup, Event::Tick { disk_healthy: true }, false);
    moment.sync_all();
    let whole = |message: &PeerMessage| matches!(message, PeerMessage::Accept { state: Some(InitialState::Full(state)), .. } if state.version == 1);
    let to_witness =
        moment.envelopes.iter().filter(|(to, envelope)| *to == witness && whole(&envelope.message));
    assert_eq!(to_witness.count(), 1, "{:?}", moment.envelopes);
}

#[test]
fn a_witness_that_takes_over_is_sent_the_state_once_and_sends_back_a_stamp() {
    let (mut moment, primary) = settled();
    let backup =
        (0..3).find(|n| *n != primary && moment.stores[*n].kept.state.version == 1).expect("a backup");
    let witness = 3 - primary - backup;
    moment.elect(witness, backup);
    moment.envelopes.retain(|(to, _)| *to != primary);
    let promises = deliver(&mut moment);
    assert!(matches!(&promises[..], [(_, PeerMessage::Promise { state: Some(_), .. })]), "{promises:?}");
    deliver(&mut moment);
    moment.now += 50;
    moment.handle(witness, Event::Tick { disk_healthy: true }, false);
    moment.sync_all();
    let to_backup = moment.envelopes.iter().find_map(|(to, envelope)| match &envelope.message {
        PeerMessage::Accept { state, .. } if *to == backup => Some(state.clone()),
        _ => None,
    });
    assert!(matches!(to_backup, Some(Some(InitialState::Promised { .. }))), "{to_backup:?}");
    // It has the new revision, and both lead on.
    deliver(&mut moment);
    deliver(&mut moment);
    let leads = moment.stores[witness].replica.as_ref().is_some_and(Replica::is_leader);
    assert!(leads && moment.stores[backup].kept.state.version == 1);
    assert_eq!(moment.stores[backup].kept.state.revision.epoch, moment.stores[backup].kept.config.epoch);
}

#[test]
fn a_voter_whose_zone_is_another_after_a_restart_keeps_its_vote_under_its_new_name() {
    let (mut moment, primary) = settled();
    for moved in (0..3).filter(|n| *n != primary) {
        let kept = moment.stores[moved].kept.clone();
        let id = kept.id;
        let seeds = (0..3).map(ip).collect();
        let options = ReplicaOptions {
            ip: ip(moved),
            zone: format!("moved-{moved}"),
            seeds,
            fault_tolerance: 1,
            durable: kept,
            new_disk_id: 99,
            is_bootstrap: false,
        };
        moment.stores[moved].replica = Some(Replica::new(options, moment.now));
        moment.settle();
        let config = &moment.stores[primary].kept.config;
        let named: Vec<&str> =
            config.voters.iter().filter(|voter| voter.id == id).map(|voter| voter.zone.as_str()).collect();
        assert_eq!((named, config.voters.len()), (vec![format!("moved-{moved}").as_str()], 3));
        assert!(config.previous_voters.is_empty() && moment.stores[moved].kept.config == *config);
    }
}

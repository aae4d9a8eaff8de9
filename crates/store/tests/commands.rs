//! Commands take effect at most once: each version has one text, a repeated command is acknowledged again, and a leader
//! confirms nothing without contact with its backups.

#![cfg(test)]

mod simulation;

use simulation::{Cluster, Millis};
use violetyoke_store::consensus::ClientId;
use violetyoke_transport::messages::{Acceptance, AcceptedVersions, Command, ControlState, Outcome};

/// Duration of a control machine's partition in the operators' fault model.
const LONG_PARTITION: Millis = 20_000;

fn replace(version: u64, text: &str) -> Command {
    Command::Replace { version, text: text.to_owned() }
}

fn text_of(version: u64) -> Command {
    replace(version, &format!("text {version}"))
}

fn leader(cluster: &Cluster) -> usize {
    cluster.leader().expect("a leader")
}

fn outcome(cluster: &Cluster, client: ClientId) -> Option<Outcome> {
    cluster.reply_to(client).map(|reply| reply.outcome.clone())
}

fn received_at(cluster: &Cluster, client: ClientId) -> Millis {
    cluster.reply_to(client).expect("a reply").received_at
}

/// Sends the leader a command and waits for the outcome.
fn execute(cluster: &mut Cluster, command: Command) -> Option<Outcome> {
    let client = cluster.submit(leader(cluster), command);
    cluster.run_for(1_000);
    outcome(cluster, client)
}

fn read(cluster: &mut Cluster) -> ControlState {
    match execute(cluster, Command::Read) {
        Some(Outcome::Read(state)) => state,
        other => panic!("no read: {other:?}"),
    }
}

#[test]
fn repeated_command_is_acknowledged_again_after_newer_versions_and_by_next_leader() {
    let mut cluster = Cluster::without_delays();
    for version in [3, 7, 12] {
        assert_eq!(execute(&mut cluster, text_of(version)), Some(Outcome::Acknowledged));
    }
    for version in [12, 3, 7] {
        assert_eq!(execute(&mut cluster, text_of(version)), Some(Outcome::Acknowledged));
    }
    let first = leader(&cluster);
    cluster.isolate(first);
    cluster.run_for(3_000);
    assert_ne!(leader(&cluster), first);
    for version in [7, 12, 3] {
        assert_eq!(execute(&mut cluster, text_of(version)), Some(Outcome::Acknowledged));
    }
    assert_eq!(read(&mut cluster).text, "text 12");
}

#[test]
fn one_text_at_most_is_confirmed_under_a_version() {
    let mut cluster = Cluster::without_delays();
    let first = leader(&cluster);
    let one = cluster.submit(first, replace(5, "one"));
    let other = cluster.submit(first, replace(5, "other"));
    cluster.run_for(500);
    assert_eq!(outcome(&cluster, one), Some(Outcome::Acknowledged));
    assert_eq!(outcome(&cluster, other), Some(Outcome::VersionTaken));
    // Texts are compared byte by byte: the same meaning in other bytes is another command.
    assert_eq!(execute(&mut cluster, replace(5, "one ")), Some(Outcome::VersionTaken));
    assert_eq!(execute(&mut cluster, replace(9, "nine")), Some(Outcome::Acknowledged));
    assert_eq!(
        execute(&mut cluster, replace(5, "other")),
        Some(Outcome::VersionTaken),
        "an older version stays taken"
    );
    cluster.isolate(first);
    cluster.run_for(3_000);
    assert_eq!(
        execute(&mut cluster, replace(5, "other")),
        Some(Outcome::VersionTaken),
        "the next leader knows the text of the version"
    );
    assert_eq!(execute(&mut cluster, replace(5, "one")), Some(Outcome::Acknowledged));
    assert_eq!(read(&mut cluster).text, "nine");
}

#[test]
fn late_older_version_takes_its_number_without_replacing_the_text() {
    let mut cluster = Cluster::without_delays();
    let leader = leader(&cluster);
    let newer = cluster.submit(leader, replace(8, "eight"));
    // The older versions are queued behind the newer one.
    let older = cluster.submit(leader, replace(6, "six"));
    let second = cluster.submit(leader, replace(6, "another six"));
    cluster.run_for(500);
    assert_eq!(outcome(&cluster, newer), Some(Outcome::Acknowledged));
    assert_eq!(outcome(&cluster, older), Some(Outcome::Acknowledged));
    assert_eq!(outcome(&cluster, second), Some(Outcome::VersionTaken));
    assert_eq!(read(&mut cluster).text, "eight");
}

#[test]
fn partitioned_leader_confirms_nothing_until_the_partition_ends() {
    let mut cluster = Cluster::without_delays();
    assert_eq!(execute(&mut cluster, replace(4, "four")), Some(Outcome::Acknowledged));
    let partitioned = leader(&cluster);
    cluster.isolate(partitioned);
    let started_at = cluster.now;
    let mut clients = Vec::new();
    while cluster.now < started_at + LONG_PARTITION {
        let versions = [(4, "four"), (4, "other"), (3, "three"), (9, "nine")];
        let commands = versions.map(|(version, text)| replace(version, text));
        for command in commands.into_iter().chain([Command::Read]) {
            clients.push(cluster.submit(partitioned, command));
        }
        cluster.run_for(500);
        let replica = cluster.machines[partitioned].replica.as_ref().expect("it runs");
        assert!(!replica.is_leader_in_contact() || cluster.now < started_at + 1_000);
    }
    assert_eq!(clients.len(), 200);
    for client in clients {
        let outcome = outcome(&cluster, client);
        assert!(
            matches!(outcome, None | Some(Outcome::NotLeader)),
            "the partitioned leader replied {outcome:?}"
        );
    }
}

#[test]
fn uncommitted_command_of_a_deposed_leader_is_not_acknowledged_when_it_leads_again() {
    let mut cluster = Cluster::without_delays();
    assert_eq!(execute(&mut cluster, replace(1, "one")), Some(Outcome::Acknowledged));
    let first = leader(&cluster);
    cluster.isolate(first);
    // This command reaches only the disk of the partitioned leader.
    let lost = cluster.submit(first, replace(2, "lost"));
    cluster.run_for(3_000);
    let second = leader(&cluster);
    assert_ne!(second, first);
    assert_eq!(execute(&mut cluster, replace(3, "three")), Some(Outcome::Acknowledged));
    // Connected to the third store only, the first leader is elected again and takes over that store's state.
    let third = 3 - first - second;
    cluster.network.disconnect(second, third);
    cluster.network.connect(first, third);
    cluster.run_for(4_000);
    assert_eq!(leader(&cluster), first);
    assert_eq!(read(&mut cluster).text, "three");
    assert_ne!(outcome(&cluster, lost), Some(Outcome::Acknowledged), "acknowledged but on no store");
    assert_eq!(
        execute(&mut cluster, replace(2, "another")),
        Some(Outcome::Acknowledged),
        "the version of the lost command is free"
    );
}

#[test]
fn commands_that_arrive_together_wait_for_at_most_two_syncs() {
    let mut cluster = Cluster::without_delays();
    cluster.fixed_sync_time = Some(150);
    let (leader, started_at) = (leader(&cluster), cluster.now);
    let clients: Vec<ClientId> = (1..=8).map(|version| cluster.submit(leader, text_of(version))).collect();
    cluster.run_for(2_000);
    for client in &clients {
        assert_eq!(outcome(&cluster, *client), Some(Outcome::Acknowledged));
    }
    let last = clients.iter().map(|client| received_at(&cluster, *client)).max().expect("replies");
    assert!(last - started_at <= 310, "{} ms", last - started_at);
    assert_eq!(read(&mut cluster).version, 8);
}

#[test]
fn no_command_of_a_batch_is_answered_before_the_batch_is_on_all_disks() {
    let mut cluster = Cluster::without_delays();
    cluster.fixed_sync_time = Some(100);
    let (leader, started_at) = (leader(&cluster), cluster.now);
    let first = cluster.submit(leader, replace(1, "one"));
    let batch = [replace(1, "one"), replace(1, "other"), replace(2, "two"), Command::Read]
        .map(|command| cluster.submit(leader, command));
    cluster.run_for(1_000);
    let after = |client| received_at(&cluster, client) - started_at;
    assert!((100..200).contains(&after(first)), "{}", after(first));
    assert!(
        batch.iter().all(|client| after(*client) >= 200),
        "a reply was sent before its batch was committed"
    );
    assert_eq!(
        batch.map(|client| outcome(&cluster, client) == Some(Outcome::Acknowledged)),
        [true, false, true, false]
    );
    assert!(matches!(outcome(&cluster, batch[3]), Some(Outcome::Read(state)) if state.text == "two"));
}

#[test]
fn accepted_versions_forget_the_oldest_first() {
    let mut accepted = AcceptedVersions::default();
    let last = AcceptedVersions::LIMIT as u64 + 40;
    for version in 1..=last {
        assert!(accepted.insert(version, &format!("text {version}")));
    }
    assert_eq!(accepted.find(last, &format!("text {last}")), Acceptance::SameText);
    assert_eq!(accepted.find(41, "text 41"), Acceptance::SameText);
    assert_eq!(accepted.find(41, "another"), Acceptance::OtherText);
    assert_eq!(accepted.find(40, "text 40"), Acceptance::Unknown, "forgotten");
    assert!(!accepted.insert(40, "text 40"), "older than the kept versions");
    assert_eq!(accepted.find(41, "text 41"), Acceptance::SameText);
}

#[test]
fn state_without_accepted_versions_recognizes_its_own_text() {
    let state = ControlState { version: 6, text: "six".into(), ..ControlState::default() };
    assert_eq!(state.acceptance(6, "six"), Acceptance::SameText);
    assert_eq!(state.acceptance(6, "other"), Acceptance::OtherText);
    assert_eq!(state.acceptance(5, "five"), Acceptance::Unknown);
}

#[test]
fn text_under_a_forgotten_version_never_takes_effect() {
    /// Number of accepted texts whose digests the state keeps.
    const KEPT_DIGESTS: u64 = 256;
    let mut cluster = Cluster::without_delays();
    for version in 1..=KEPT_DIGESTS + 40 {
        let client = cluster.submit(leader(&cluster), text_of(version));
        cluster.run_for(60);
        assert_eq!(outcome(&cluster, client), Some(Outcome::Acknowledged), "version {version}");
    }
    let newest = format!("text {}", KEPT_DIGESTS + 40);
    // A forgotten version is acknowledged like any older version, without effect.
    assert_eq!(execute(&mut cluster, replace(1, "another")), Some(Outcome::Acknowledged));
    assert_eq!(read(&mut cluster).text, newest);
    // A version within the kept history is taken.
    assert_eq!(execute(&mut cluster, replace(KEPT_DIGESTS, "another")), Some(Outcome::VersionTaken));
    assert_eq!(execute(&mut cluster, text_of(KEPT_DIGESTS)), Some(Outcome::Acknowledged));
    // The next leader answers the same.
    let first = leader(&cluster);
    cluster.isolate(first);
    cluster.run_for(3_000);
    assert_eq!(execute(&mut cluster, replace(KEPT_DIGESTS, "another")), Some(Outcome::VersionTaken));
    assert_eq!(execute(&mut cluster, replace(2, "another")), Some(Outcome::Acknowledged));
    assert_eq!(read(&mut cluster).text, newest);
}

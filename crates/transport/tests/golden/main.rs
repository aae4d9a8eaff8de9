//! The encoding of the messages between processes of the system, which must stay the same in all builds.
//!
//! During an upgrade, some machines run the older build. Each message must therefore decode from, and encode to, exactly
//! the bytes in the golden files in this folder. Structs are encoded by the position of their fields and enums by the names
//! of their variants, so a renamed variant must keep its encoded name with `#[serde(rename = "...")]`. The golden files are
//! never edited; `VIOLETYOKE_WRITE_GOLDEN=1 cargo test --test golden` writes those of new samples.

#![cfg(test)]

mod control;
mod files;
mod frames;
mod older;
mod operations;
mod payloads;
mod proxies;
mod samples;
mod stores;
mod variants;

use files::GoldenFolder;
use older::OlderControlState;
use samples::{sample, Sample};
use std::collections::BTreeSet;
use std::fmt::Debug;
use variants::assert_all_variants;
use violetyoke_api::change::ConfigurationChange;
use violetyoke_api::digest::digest;
use violetyoke_api::Configuration;
use violetyoke_transport::codec::{decode, encode, encode_deflated, try_encode};
use violetyoke_transport::compression::{inflate, Compressed};
use violetyoke_transport::messages::{
    proxy_id, AcceptedVersions, Command, ControlState, Outcome, PeerMessage, StoreReply, StoreRequest,
};

const COMPRESSED_CONFIGURATION: &str = "packed-configuration";
const COMPRESSED_CHANGE: &str = "packed-change";
const COMPRESSED_STATE: &str = "deflated-store-reply-news";
const OLDER_STATE: &str = "older-store-reply-news";

fn folder() -> GoldenFolder {
    GoldenFolder::of_crate(env!("CARGO_MANIFEST_DIR"), "bin")
}

fn check<T>(samples: &[Sample<T>])
where
    T: serde::Serialize + serde::de::DeserializeOwned + PartialEq + Debug,
{
    folder().check(samples, |value| try_encode(value).expect("encoded"), |bytes| decode(bytes));
}

fn compressed<T: serde::Serialize>(name: &str, content: &T) -> Compressed {
    let current = || try_encode(&Compressed::encode(content).expect("compressed")).expect("encoded");
    decode(&folder().read(name, current)).expect("a compressed payload")
}

fn compressed_configuration() -> Compressed {
    compressed(COMPRESSED_CONFIGURATION, &payloads::configuration())
}

fn compressed_change() -> Compressed {
    compressed(COMPRESSED_CHANGE, &payloads::change())
}

fn configurations() -> Vec<Sample<Configuration>> {
    vec![
        sample("configuration", payloads::configuration()),
        sample("configuration-empty", Configuration::default()),
        sample("configuration-keyed", payloads::keyed_configuration()),
    ]
}

fn changes() -> Vec<Sample<ConfigurationChange>> {
    vec![sample("change", payloads::change())]
}

#[test]
fn requests_to_stores_keep_their_encoding() {
    check(&control::store_requests());
}

#[test]
fn replies_of_stores_keep_their_encoding() {
    check(&control::store_replies());
}

#[test]
fn requests_to_registries_keep_their_encoding() {
    check(&proxies::registry_requests());
}

#[test]
fn replies_to_proxies_keep_their_encoding() {
    check(&proxies::proxy_replies(compressed_configuration(), compressed_change()));
}

#[test]
fn configurations_and_changes_keep_their_encoding() {
    check(&configurations());
    check(&changes());
}

#[test]
fn compressed_payloads_are_decoded() {
    let configuration = payloads::configuration();
    let change = payloads::change();

    assert_eq!(compressed_configuration().decode::<Configuration>().expect("decoded"), configuration);
    assert_eq!(compressed_change().decode::<ConfigurationChange>().expect("decoded"), change);
    let compressed = Compressed::encode(&configuration).expect("compressed");
    assert_eq!(compressed.decode::<Configuration>().expect("decoded"), configuration);
}

#[test]
fn the_digest_of_a_configuration_does_not_change() {
    let digest = |configuration| digest(&configuration).expect("a digest");
    assert_eq!(digest(payloads::configuration()), payloads::CONFIGURATION_DIGEST);
    assert_eq!(digest(payloads::keyed_configuration()), payloads::KEYED_CONFIGURATION_DIGEST);
}

#[test]
fn the_id_of_a_proxy_does_not_change() {
    assert_eq!(proxy_id("proxy-1"), 2_103_902_533);
}

/// The bytes are compared after inflating, because another release of the deflate library may write other bytes for the same
/// content.
#[test]
fn deflated_messages_are_decoded() {
    let reply = StoreReply::State(control::large_state());

    let golden = folder().read(COMPRESSED_STATE, || encode_deflated(&reply).to_vec());

    assert_eq!(golden[0], 0xc1, "the mark of a deflated message");
    assert_eq!(decode::<StoreReply>(&golden).expect("decoded"), reply);
    assert_eq!(inflate(&golden[1..]).expect("inflated"), encode(&reply));
    assert_eq!(decode::<StoreReply>(&encode_deflated(&reply)).expect("decoded"), reply);
}

/// The only reply that contains an uncompressed state.
#[derive(serde::Serialize)]
enum OlderStoreReply {
    News(OlderControlState),
}

/// Builds before the introduction of the history of accepted versions send states without it.
#[test]
fn states_of_builds_without_accepted_versions_are_decoded() {
    let older = OlderStoreReply::News(OlderControlState::of(&control::full_state()));

    let golden = folder().read(OLDER_STATE, || try_encode(&older).expect("encoded"));

    assert_eq!(try_encode(&older).expect("encoded"), golden);
    let expected = ControlState { accepted: AcceptedVersions::default(), ..control::full_state() };
    assert_eq!(decode::<StoreReply>(&golden).expect("decoded"), StoreReply::State(expected));
}

#[test]
fn every_variant_has_a_sample() {
    let requests: Vec<StoreRequest> =
        control::store_requests().into_iter().map(|sample| sample.value).collect();
    let replies: Vec<StoreReply> = control::store_replies().into_iter().map(|sample| sample.value).collect();
    let peer_messages: Vec<PeerMessage> =
        stores::peer_messages().into_iter().map(|(_, message)| message).collect();
    let commands: Vec<&Command> = requests
        .iter()
        .filter_map(|request| match request {
            StoreRequest::Execute { command, .. } => Some(command),
            StoreRequest::Watch { .. }
            | StoreRequest::Envelope(_)
            | StoreRequest::Operation { .. }
            | StoreRequest::Replication { .. } => None,
        })
        .collect();
    let outcomes: Vec<&Outcome> = replies
        .iter()
        .filter_map(|reply| match reply {
            StoreReply::Completed { outcome, .. } => Some(outcome),
            StoreReply::Status { .. } | StoreReply::State(_) | StoreReply::Operation { .. } => None,
        })
        .collect();
    let initial_states = peer_messages.iter().filter_map(|message| match message {
        PeerMessage::Accept { state, .. } => state.as_ref(),
        _ => None,
    });

    assert_all_variants(&requests);
    assert_all_variants(commands);
    assert_all_variants(&replies);
    assert_all_variants(outcomes);
    assert_all_variants(&peer_messages);
    assert_all_variants(initial_states);
    assert_all_variants(proxies::registry_requests().iter().map(|sample| &sample.value));
    assert_all_variants(proxies::proxy_requests().iter().map(|(_, message)| message));
    let replies = proxies::proxy_replies(compressed_configuration(), compressed_change());
    assert_all_variants(replies.iter().map(|sample| &sample.value));
    let configurations = [payloads::configuration(), payloads::keyed_configuration()];
    assert_all_variants(
        configurations.iter().flat_map(|configuration| &configuration.routes).map(|route| &route.route_kind),
    );
}

/// Guards against golden files that no test reads.
#[test]
fn every_golden_file_has_a_sample() {
    let mut names: BTreeSet<String> = BTreeSet::new();
    names.extend(control::store_requests().iter().map(|sample| sample.name.to_owned()));
    names.extend(control::store_replies().iter().map(|sample| sample.name.to_owned()));
    names.extend(proxies::registry_requests().iter().map(|sample| sample.name.to_owned()));
    let replies = proxies::proxy_replies(compressed_configuration(), compressed_change());
    names.extend(replies.iter().map(|sample| sample.name.to_owned()));
    names.extend(configurations().iter().map(|sample| sample.name.to_owned()));
    names.extend(changes().iter().map(|sample| sample.name.to_owned()));
    names.extend(
        [COMPRESSED_CONFIGURATION, COMPRESSED_CHANGE, COMPRESSED_STATE, OLDER_STATE].map(str::to_owned),
    );

    assert_eq!(folder().names(), names);
}

//! Sessions of proxies, here and at other registries.

#![cfg(test)]

use std::net::{Ipv4Addr, SocketAddrV4};
use violetyoke_registry::sessions::Sessions;
use violetyoke_transport::connection::ConnectionId;
use violetyoke_transport::messages::{proxy_id, Session};

const FIRST: ConnectionId = ConnectionId(1);
const SECOND: ConnectionId = ConnectionId(2);
const PEER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 9);

fn session(node: &str, zone: &str, port: u16, is_ready: bool) -> Session {
    Session {
        node: node.into(),
        front_address: format!("10.0.0.1:{port}").parse().expect("an address"),
        zone: zone.into(),
        region: zone[..1].into(),
        is_ready,
    }
}

fn resolved_ports(sessions: &Sessions, region: &str, zone: &str) -> Vec<u16> {
    sessions.resolve(region, zone).iter().map(SocketAddrV4::port).collect()
}

#[test]
fn clients_are_directed_to_ready_proxies_of_their_zone_then_region_then_any() {
    let mut sessions = Sessions::default();
    sessions.register(FIRST, session("edge-1", "a1", 1, true));
    sessions.register(SECOND, session("edge-2", "a2", 2, true));
    sessions.merge_peer(PEER, vec![session("edge-3", "b1", 3, true)]);
    assert_eq!(resolved_ports(&sessions, "a", "a1"), [1]);
    sessions.register(FIRST, session("edge-1", "a1", 1, false));
    assert_eq!(resolved_ports(&sessions, "a", "a1"), [2]);
    assert!(sessions.remove(SECOND));
    assert_eq!(resolved_ports(&sessions, "a", "a1"), [3], "a peer's session counts too");
    sessions.remove_peer(PEER);
    assert!(resolved_ports(&sessions, "a", "a1").is_empty());
    assert_eq!(sessions.proxy_ids(), [proxy_id("edge-1")], "not ready, and still a member");
}

#[test]
fn proxy_ids_are_updated_when_a_session_begins_changes_or_ends() {
    let mut both = [proxy_id("edge-1"), proxy_id("edge-2")];
    both.sort_unstable();
    let mut sessions = Sessions::default();
    assert!(sessions.proxy_ids().is_empty());
    sessions.register(FIRST, session("edge-1", "a1", 1, false));
    assert_eq!(
        (sessions.proxy_ids(), sessions.not_ready()),
        (&[proxy_id("edge-1")][..], &[proxy_id("edge-1")][..])
    );
    sessions.register(FIRST, session("edge-1", "a1", 1, true));
    assert!(sessions.not_ready().is_empty(), "reported as ready on the same connection");
    sessions.merge_peer(PEER, vec![session("edge-2", "a1", 2, false)]);
    assert_eq!((sessions.proxy_ids(), sessions.not_ready()), (&both[..], &[proxy_id("edge-2")][..]));
    sessions.merge_peer(PEER, vec![session("edge-2", "a1", 2, true)]);
    assert!(sessions.not_ready().is_empty());
    assert!(!sessions.remove(ConnectionId(7)), "a connection without a session");
    assert!(sessions.remove(FIRST));
    assert_eq!(sessions.proxy_ids(), [proxy_id("edge-2")]);
    sessions.remove_peer(PEER);
    assert!(sessions.proxy_ids().is_empty());
}

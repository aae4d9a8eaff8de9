//! Proxies' sessions, and the counts of the tenants that are dealt to this registry.

use super::Registry;
use crate::contact::Contact;
use crate::waits::Waits;
use slog::info;
use std::collections::{BTreeMap, HashMap};
use violetyoke_api::Configuration;
use violetyoke_quota::{Admission, Limit, OwnerCounters, PartitionedProxies, ShardAssignment, WindowCounts};
use violetyoke_transport::codec::encode;
use violetyoke_transport::connection::Sender;
use violetyoke_transport::messages::{
    ControlState, ListDigest, ProxyReply, ProxyRequest, Revision, ShardOwners,
};

/// Of the part by which a limit may be passed, so much bears what proxies pass that can't ask; ways and turns of windows
/// take the rest.
const BORNE: f64 = 0.6;

pub(super) struct Proxy {
    pub sender: Sender,
    pub hello: bool,
    pub lead: bool,
    /// The state that it was sent, and the one that it says it holds.
    pub have: Revision,
    pub holds: Revision,
    /// The list that it was sent, and the one that it says it holds.
    pub list: ListDigest,
    pub holds_list: ListDigest,
    pub members: u64,
    /// The deal of counts, and the contact, that it was told of.
    pub deal: (bool, Revision),
    pub waits: Waits,
}

#[derive(Default)]
pub(super) struct Proxies {
    pub by_connection: BTreeMap<u64, Proxy>,
    pub counts: OwnerCounters<Revision>,
    /// Proxies that may pass requests without asking.
    pub absent: PartitionedProxies,
    /// Whether this registry may count at all.
    pub contact: Contact,
    limits: HashMap<String, Option<Limit>>,
    dealt: ShardAssignment,
}

impl Proxies {
    pub fn opened(&mut self, number: u64, sender: Sender) {
        let (have, list, members) = (Revision::default(), ListDigest::NONE, 0);
        let waits = Waits::default();
        let proxy = Proxy {
            sender,
            hello: false,
            lead: false,
            have,
            holds: have,
            list,
            holds_list: list,
            members,
            deal: (false, Revision::default()),
            waits,
        };
        self.by_connection.insert(number, proxy);
    }

    /// Another deal of counts.
    pub fn deal(&mut self, owners: &ShardOwners) {
        self.dealt = ShardAssignment::new(&owners.registries);
    }

    pub fn closed(&mut self, number: u64) {
        self.by_connection.remove(&number);
    }
}

impl Registry {
    /// A newer state of control.
    pub(super) fn take(&mut self, held: ControlState) {
        // Only what was checked is held; before the first configuration there is nothing to be read.
        if let Ok(configuration) = Configuration::parse(held.text.as_bytes()) {
            let tenants = configuration.tenants.iter();
            self.proxies.limits =
                tenants.map(|it| (it.name.clone(), Limit::new(it.rate_per_s, it.burst))).collect();
            let limits = &self.proxies.limits;
            self.proxies.counts.retain(|tenant| limits.contains_key(tenant));
            let text_differs = held.text != self.held.text;
            self.telling.state(&held, configuration, text_differs);
        }
        self.held = held;
        self.publish();
    }

    /// All proxies that have a session here hold that version, or a later one.
    pub(super) fn all_hold(&self, version: u64) -> bool {
        let Some(revision) = self.telling.stamp_of(version) else { return self.held.version > version };
        self.proxies.by_connection.values().filter(|proxy| proxy.hello).all(|proxy| proxy.holds >= revision)
    }

    pub(super) fn proxy(&mut self, number: u64, ask: ProxyRequest) {
        let now = self.now();
        match ask {
            ProxyRequest::Hello(session) => {
                info!(self.log, "session"; "proxy" => &session.node, "ready" => session.is_ready);
                self.sessions.begin(number, session);
                if let Some(proxy) = self.proxies.by_connection.get_mut(&number) {
                    proxy.hello = true;
                }
                self.gossip(None);
                self.publish();
            }
            ProxyRequest::Poll {
                revision: have,
                backend_list: list,
                membership: members,
                is_primary: lead,
            } => {
                if let Some(proxy) = self.proxies.by_connection.get_mut(&number) {
                    proxy.waits.polled(have > proxy.holds, list != proxy.holds_list);
                    (proxy.have, proxy.list, proxy.members, proxy.lead) = (have, list, members, lead);
                    (proxy.holds, proxy.holds_list) = (have, list);
                }
                self.polled.notify_waiters();
                self.publish();
            }
            ProxyRequest::CheckFreshness { request_id: question, known: have } => {
                let newest = self.telling.revision().unwrap_or_default();
                if let Some(proxy) = self.proxies.by_connection.get_mut(&number) {
                    if newest > have {
                        // Sent before, perhaps; told again to one that waits for it.
                        proxy.have = have;
                        proxy.lead = true;
                    } else {
                        proxy.sender.send(encode(&ProxyReply::Freshness { request_id: question, newest }));
                    }
                }
                self.publish();
            }
            ProxyRequest::Increment { request_id: call, tenant, fencing_token: fence } => {
                let mine = self.counts(&tenant);
                let slack = self.settings.terms.bounds.quota_overshoot * BORNE;
                let left = 1.0 - self.proxies.absent.reserved_part(now, slack);
                let says = match self.proxies.limits.get(&tenant).copied() {
                    // A tenant of a configuration that has not come here yet: whoever asks knows its limit.
                    None => ProxyReply::NotOwner { request_id: call },
                    Some(None) => ProxyReply::Counted { request_id: call, retry_ms: None },
                    Some(Some(limit)) if mine => {
                        let limit = limit.scaled(left, limit.window_ms);
                        match self.proxies.counts.increment(now, &tenant, fence, limit) {
                            Err(_) => ProxyReply::NotOwner { request_id: call },
                            Ok(Admission::Admitted) => {
                                ProxyReply::Counted { request_id: call, retry_ms: None }
                            }
                            Ok(Admission::Denied { retry_after_ms }) => {
                                let retry_ms = Some(retry_after_ms.min(60_000) as u32);
                                ProxyReply::Counted { request_id: call, retry_ms }
                            }
                        }
                    }
                    Some(Some(_)) => ProxyReply::NotOwner { request_id: call },
                };
                if let Some(proxy) = self.proxies.by_connection.get(&number) {
                    proxy.sender.send(encode(&says));
                }
            }
            ProxyRequest::TransferCount { tenant, fencing_token: fence, current, previous } => {
                if let Some(Some(limit)) = self.proxies.limits.get(&tenant).copied() {
                    let usage = WindowCounts { current: f64::from(current), previous: f64::from(previous) };
                    // A word under an older deal is of no use to anybody.
                    let _ = self.proxies.counts.import(now, &tenant, fence, limit, usage);
                }
            }
        }
    }

    /// Whether this registry counts for a tenant. One that is cut off does not: another may have been dealt the count by
    /// now, and keeps back only what proxies pass on their own.
    fn counts(&self, tenant: &str) -> bool {
        if !self.proxies.contact.stands() {
            return false;
        }
        self.proxies.dealt.owner(tenant) == Some(self.settings.local.ip)
    }
}

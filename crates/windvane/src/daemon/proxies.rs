//! Proxies' sessions: their news, and the counts of the tenants that are dealt to this registry.

use super::Registry;
use crate::Millis;
use bytes::Bytes;
use slog::info;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{Hash, Hasher};
use violetyoke_mast::frame::encode;
use violetyoke_mast::link::Sender;
use violetyoke_mast::words::{Held, Members, ProxyAsk, ProxySays, Stamp};
use violetyoke_raingauge::deal::Dealt;
use violetyoke_raingauge::holder::Holder;
use violetyoke_raingauge::Limit;
use violetyoke_station::Configuration;

/// A proxy that asks another registry first is told so much later, and only if it has not heard by then.
const SECOND: Millis = 250;

struct Proxy {
    sender: Sender,
    hello: bool,
    lead: bool,
    have: Stamp,
    list: u64,
    members: u64,
    /// Since when there has been news for it here.
    since: Option<Millis>,
}

#[derive(Default)]
pub(super) struct Proxies {
    by_connection: BTreeMap<u64, Proxy>,
    pub counts: Holder<Stamp>,
    limits: HashMap<String, Option<Limit>>,
    members: Members,
    dealt: Dealt,
    /// Messages as they go out, made once for all.
    news: Option<(Stamp, Bytes)>,
    content: Option<(u64, BTreeSet<String>)>,
}

impl Proxies {
    pub fn opened(&mut self, number: u64, sender: Sender) {
        let (have, list, members) = (Stamp::default(), 0, 0);
        let proxy = Proxy { sender, hello: false, lead: false, have, list, members, since: None };
        self.by_connection.insert(number, proxy);
    }

    pub fn closed(&mut self, number: u64) {
        self.by_connection.remove(&number);
    }
}

impl Registry {
    /// A newer state of control.
    pub(super) fn take(&mut self, held: Held) {
        // Only what was checked is held; of a state that can't be read no limit would be known.
        if let Ok(configuration) = Configuration::parse(held.text.as_bytes()) {
            let tenants = configuration.tenants.into_iter();
            self.proxies.limits =
                tenants.map(|it| (it.name.clone(), Limit::new(it.rate_per_s, it.burst))).collect();
            let limits = &self.proxies.limits;
            self.proxies.counts.retain(|tenant| limits.contains_key(tenant));
        }
        let content = (held.version, held.evacuated.clone());
        if self.proxies.content.as_ref() == Some(&content) {
            // The same under a newer epoch: nothing that a proxy has to be told.
            self.held = held;
            return;
        }
        self.proxies.content = Some(content);
        self.proxies.news = Some((held.stamp, encode(&ProxySays::News(held.clone()))));
        self.held = held;
        self.publish();
    }

    pub(super) fn proxy(&mut self, number: u64, ask: ProxyAsk) {
        let now = self.now();
        match ask {
            ProxyAsk::Hello(session) => {
                info!(self.log, "session"; "proxy" => &session.node, "ready" => session.ready);
                self.sessions.begin(number, session);
                if let Some(proxy) = self.proxies.by_connection.get_mut(&number) {
                    proxy.hello = true;
                }
                self.gossip(None);
                self.publish();
            }
            ProxyAsk::Poll { have, list, members, lead } => {
                if let Some(proxy) = self.proxies.by_connection.get_mut(&number) {
                    (proxy.have, proxy.list, proxy.members, proxy.lead) = (have, list, members, lead);
                    proxy.since = None;
                }
                self.publish();
            }
            ProxyAsk::Add { call, tenant, fence } => {
                let mine = self.counts(&tenant);
                let says = match self.proxies.limits.get(&tenant).copied() {
                    // A tenant of a configuration that has not come here yet: whoever asks knows its limit.
                    None => ProxySays::NotMine { call },
                    Some(None) => ProxySays::Counted { call, retry_ms: None },
                    Some(Some(limit)) if mine => match self.proxies.counts.add(now, &tenant, fence, limit) {
                        Err(_) => ProxySays::NotMine { call },
                        Ok(counted) => {
                            let retry_ms = counted.err().map(|ms| ms.min(60_000) as u32);
                            ProxySays::Counted { call, retry_ms }
                        }
                    },
                    Some(Some(_)) => ProxySays::NotMine { call },
                };
                if let Some(proxy) = self.proxies.by_connection.get(&number) {
                    proxy.sender.send(encode(&says));
                }
            }
            ProxyAsk::Tell { tenant, fence, current, previous } => {
                if let Some(Some(limit)) = self.proxies.limits.get(&tenant).copied() {
                    let told = (f64::from(current), f64::from(previous));
                    // A word under an older deal is of no use to anybody.
                    let _ = self.proxies.counts.tell(now, &tenant, fence, limit, told);
                }
            }
        }
    }

    fn counts(&self, tenant: &str) -> bool {
        self.proxies.dealt.owner(tenant) == Some(self.settings.me.ip.to_string().as_str())
    }

    /// Tells each proxy what is newer than what it has: at once where it asks here first, else a little later.
    pub(super) fn publish(&mut self) {
        let now = self.now();
        let mut members = Members {
            digest: 0,
            proxies: self.sessions.members(),
            registries: self.live(),
            owners: self.stores.owners.clone(),
        };
        let mut hasher = DefaultHasher::new();
        (&members.proxies, &members.registries, members.owners.fence).hash(&mut hasher);
        members.digest = hasher.finish() | 1;
        if members.digest != self.proxies.members.digest {
            let names: Vec<String> = members.owners.registries.iter().map(ToString::to_string).collect();
            if members.owners != self.proxies.members.owners {
                self.proxies.dealt = Dealt::new(&names.iter().map(String::as_str).collect::<Vec<_>>());
            }
            self.proxies.members = members;
        }
        let digest = self.lists.digest();
        let mut list: Option<Bytes> = None;
        let mut told: Option<Bytes> = None;
        for proxy in self.proxies.by_connection.values_mut().filter(|proxy| proxy.hello) {
            let news = self.proxies.news.as_ref().filter(|(stamp, _)| *stamp > proxy.have);
            let other_list = digest != 0 && proxy.list != digest;
            let other_members = proxy.members != self.proxies.members.digest;
            if news.is_none() && !other_list && !other_members {
                proxy.since = None;
                continue;
            }
            let since = *proxy.since.get_or_insert(now);
            if !proxy.lead && now < since + SECOND {
                continue;
            }
            if let Some((stamp, frame)) = news {
                proxy.have = *stamp;
                proxy.sender.send(frame.clone());
            }
            if other_list {
                proxy.list = digest;
                let lists = &self.lists;
                let frame = list.get_or_insert_with(|| {
                    encode(&ProxySays::List(lists.newest(now, true).unwrap_or_default()))
                });
                proxy.sender.send(frame.clone());
            }
            if other_members {
                proxy.members = self.proxies.members.digest;
                let members = &self.proxies.members;
                let frame = told.get_or_insert_with(|| encode(&ProxySays::Members(members.clone())));
                proxy.sender.send(frame.clone());
            }
        }
    }
}

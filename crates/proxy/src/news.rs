//! Sessions with all registries, and what they tell: states of control, lists of backends, members, counts.

use crate::counting::{Connection, HolderReply};
use crate::daemon::Input;
use crate::state::{Proxy, Registry};
use slog::info;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedSender;
use violetyoke_api::change::ConfigurationChange;
use violetyoke_api::settings::Process;
use violetyoke_api::Configuration;
use violetyoke_balancing::{BackendDirectory, ListedBackend, Millis};
use violetyoke_transport::codec::{decode, encode};
use violetyoke_transport::connection;
use violetyoke_transport::error::DecodeError;
use violetyoke_transport::messages::{
    Backend, ListDigest, Membership, ProxyReply, ProxyRequest, RegistryRequest, Revision, Session,
};

impl Proxy {
    /// Keeps a session with each registry that is known.
    pub fn connect(&self, inputs: &UnboundedSender<Input>) {
        let mut registries = self.registries.borrow_mut();
        let told = registries.values().flat_map(|registry| registry.members.registries.iter().copied());
        let known: BTreeSet<Ipv4Addr> = self.seeds.borrow().iter().copied().chain(told).collect();
        for ip in known {
            if registries.contains_key(&ip) {
                continue;
            }
            registries.insert(ip, Registry { sender: None, members: Membership::default(), lives: 0 });
            let inputs = inputs.clone();
            let address = SocketAddrV4::new(ip, self.settings.internal_port(Process::Registry));
            tokio::task::spawn_local(connection::maintain(address, move |event| {
                drop(inputs.send(Input::Registry(ip, event)));
            }));
        }
    }

    fn session(&self) -> ProxyRequest {
        let front = match self.settings.network.listen.front {
            Some(std::net::SocketAddr::V4(front)) => front,
            _ => SocketAddrV4::new(self.settings.local.ip, 0),
        };
        ProxyRequest::Hello(Session {
            node: self.settings.local.node.clone(),
            front_address: front,
            zone: self.settings.local.zone.clone(),
            region: self.settings.local.region.clone(),
            is_ready: self.serving(),
        })
    }

    /// Tells all registries how this ingress stands.
    pub fn announce(&self) {
        let frame = encode(&RegistryRequest::Proxy(self.session()));
        for sender in self.registries.borrow().values().filter_map(|registry| registry.sender.as_ref()) {
            sender.send(frame.clone());
        }
    }

    /// The registry that is to answer first: one that is in contact with the core, where any is; ingresses differ in whom
    /// they choose.
    fn choose_lead(&self) -> Option<Ipv4Addr> {
        let registries = self.registries.borrow();
        let connected = registries.iter().filter(|(_, registry)| registry.sender.is_some());
        let rank = |ip: Ipv4Addr| u32::from(ip).wrapping_mul(0x9e37_79b9) ^ (self.life as u32);
        connected.min_by_key(|(ip, it)| (!it.members.in_contact, rank(**ip))).map(|(ip, _)| *ip)
    }

    /// Asks all registries for what is newer than what is known here; one of them is to answer first.
    pub fn poll(&self) {
        let lead = self.choose_lead();
        self.lead.set(lead);
        let registries = self.registries.borrow();
        for (ip, registry) in registries.iter() {
            let Some(sender) = &registry.sender else { continue };
            let ask = ProxyRequest::Poll {
                revision: if self.lacking.get() { Revision::default() } else { self.revision() },
                backend_list: self.list.get(),
                membership: registry.members.digest,
                is_primary: lead == Some(*ip),
            };
            sender.send(encode(&RegistryRequest::Proxy(ask)));
        }
    }

    pub fn registry(self: &Rc<Self>, ip: Ipv4Addr, event: connection::Event) {
        match event {
            connection::Event::Connected(sender) => {
                info!(self.log, "session"; "registry" => %ip);
                sender.send(encode(&RegistryRequest::Proxy(self.session())));
                if let Some(registry) = self.registries.borrow_mut().get_mut(&ip) {
                    registry.sender = Some(sender);
                    registry.lives += 1;
                }
                self.poll();
            }
            connection::Event::Disconnected => {
                if let Some(registry) = self.registries.borrow_mut().get_mut(&ip) {
                    registry.sender = None;
                    registry.members = Membership::default();
                }
                self.counting.borrow_mut().disconnected(ip);
                self.members_changed();
                self.poll();
            }
            connection::Event::Message(frame) => match decode(&frame) {
                Ok(ProxyReply::Freshness { request_id: question, newest: revision }) => {
                    let registries = self.registries.borrow();
                    let in_contact = registries.get(&ip).is_some_and(|it| it.members.in_contact);
                    self.learning.newest(ip, in_contact, question, revision);
                }
                Ok(ProxyReply::FullState { revision, evacuated, configuration: packed }) => {
                    let configuration = packed.decode::<Configuration>();
                    self.state_received(revision, evacuated, configuration.map(Some));
                }
                Ok(ProxyReply::StateChange { from, revision, evacuated, change: packed }) => {
                    let old = self.snapshot().filter(|snapshot| snapshot.revision == from);
                    let change = packed.decode::<ConfigurationChange>();
                    let next = change.map(|change| old.and_then(|old| change.apply(&old.configuration).ok()));
                    self.state_received(revision, evacuated, next);
                }
                Ok(ProxyReply::BackendList(list)) => {
                    let (digest, age) = (list.digest, list.age_ms);
                    let lines = list.backends.into_iter().map(|it| self.listed_backend(it)).collect();
                    self.list_received(digest, age, |fleet, now, at| fleet.replace_all(now, at, lines));
                }
                Ok(ProxyReply::BackendListChange(list)) if list.from == self.list.get() => {
                    let lines = list.upserted.into_iter().map(|it| self.listed_backend(it)).collect();
                    let gone = list.removed;
                    self.list_received(list.digest, list.age_ms, |fleet, now, at| {
                        fleet.apply_change(now, at, lines, gone)
                    });
                }
                // Made for another list than the one that is known here by now.
                Ok(ProxyReply::BackendListChange(_)) => self.poll(),
                Ok(ProxyReply::Membership(members)) => {
                    if let Some(registry) = self.registries.borrow_mut().get_mut(&ip) {
                        registry.members = members;
                    }
                    self.members_changed();
                    if self.choose_lead() != self.lead.get() {
                        self.poll();
                    }
                }
                Ok(ProxyReply::Counted { request_id: call, retry_ms }) => {
                    self.holder_replied(ip, call, HolderReply::Counted(retry_ms));
                }
                Ok(ProxyReply::NotOwner { request_id: call }) => {
                    self.holder_replied(ip, call, HolderReply::NotMine);
                }
                Err(error) => slog::warn!(self.log, "unread frame"; "why" => error.to_string()),
            },
        }
    }

    /// A state of control was told; where it can't be made of what is known here, the whole is asked for.
    fn state_received(
        &self,
        revision: Revision,
        evacuated: BTreeSet<String>,
        next: Result<Option<Configuration>, DecodeError>,
    ) {
        match next {
            Ok(Some(configuration)) => self.install(revision, evacuated, configuration),
            Ok(None) if revision > self.revision() => self.lacking.set(true),
            Ok(None) => {}
            Err(error) => slog::error!(self.log, "configuration not taken"; "why" => error.to_string()),
        }
        self.poll();
        self.lacking.set(false);
    }

    fn listed_backend(&self, backend: Backend) -> ListedBackend {
        ListedBackend {
            region: self.settings.region_of(&backend.zone).to_owned(),
            id: backend.id,
            service: backend.service,
            address: backend.address,
            zone: backend.zone,
            slots: backend.slots,
            is_draining: backend.draining,
            slow_start_left_ms: backend.slow_start_left_ms,
        }
    }

    /// A list was told that was asked for so long ago.
    fn list_received(
        &self,
        digest: ListDigest,
        age_ms: u64,
        take: impl FnOnce(&mut BackendDirectory, Millis, Millis) -> bool,
    ) {
        let now = self.now();
        if !take(&mut self.fleet.borrow_mut(), now, now.saturating_sub(age_ms)) {
            return;
        }
        self.list.set(digest);
        self.pools.borrow_mut().retain(&self.fleet.borrow());
        self.waiting.borrow_mut().all();
        self.poll();
    }

    fn holder_replied(&self, registry: Ipv4Addr, call: u32, reply: HolderReply) {
        let life = self.registries.borrow().get(&registry).map_or(0, |registry| registry.lives);
        self.counting.borrow_mut().answered(Connection { registry, life }, call, reply);
    }

    /// Members as the widest view has them: parts cut too small are safe, parts cut too large are not. A registry that is
    /// cut off sees too few: its view counts for nothing. Where no registry is in contact there are no members, and so no
    /// part of cold rates; the number of ingresses stays as it was.
    fn members_changed(&self) {
        let registries = self.registries.borrow();
        let views = registries.values().filter(|it| it.sender.is_some()).map(|it| &it.members);
        let widest = views.clone().filter(|it| it.in_contact).max_by_key(|members| members.proxies.len());
        let counting = &mut *self.counting.borrow_mut();
        let fleet = &mut *self.fleet.borrow_mut();
        let proxies = widest.map(|members| members.proxies.clone()).unwrap_or_default();
        if !proxies.is_empty() {
            counting.ingresses = proxies.len();
        }
        fleet.update_members(proxies);
        if let Some(newest) = views.max_by_key(|members| members.shard_owners.fencing_token) {
            counting.deal(newest.shard_owners.clone());
        }
    }
}

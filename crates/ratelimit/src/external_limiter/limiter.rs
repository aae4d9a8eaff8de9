//! The state of all queries to one external server.

use super::credits::Credits;
use super::protocol::{Counters, Decision, Reply, Start, Usage};
use super::query::{Query, QueryState};
use super::settings::LimiterSettings;
use crate::breaker::{Breaker, Micros, Permit};
use std::collections::{BTreeMap, BTreeSet};

/// No query is sent if its time-out would be shorter than this.
const MIN_QUERY_TIME: Micros = 1_000;
/// The maximum number of times that one query is sent.
const MAX_ATTEMPTS: u32 = 2;
/// The maximum number of broken connections that are remembered. Queries are in flight on the last few connections only.
const MAX_BROKEN_CONNECTIONS: usize = 8;

/// The queries of one pool to its external rate limit server.
pub struct ExternalLimiter {
    settings: LimiterSettings,
    breaker: Breaker,
    queries: BTreeMap<u64, Query>,
    /// The number of queries whose reply may still arrive. Each one occupies a slot.
    in_flight: usize,
    next_id: u64,
    /// Connections that broke recently, each with the breaker's epoch of the query, so that a break counts as one failure.
    broken_connections: BTreeSet<(u64, u64)>,
    credits: Credits,
    counters: Counters,
}

impl ExternalLimiter {
    /// Creates a limiter without queries. `seed` is the seed of the breaker's jitter.
    pub fn new(settings: LimiterSettings, seed: u64) -> ExternalLimiter {
        ExternalLimiter {
            settings,
            breaker: Breaker::new(settings.breaker, seed),
            queries: BTreeMap::new(),
            in_flight: 0,
            next_id: 1,
            broken_connections: BTreeSet::new(),
            credits: Credits::default(),
            counters: Counters::default(),
        }
    }

    /// Applies new settings. The time-outs of queries in flight do not change.
    pub fn update_settings(&mut self, settings: LimiterSettings) {
        self.settings = settings;
        self.breaker.update_settings(settings.breaker);
    }

    /// How long after its time-out a late reply is still expected.
    pub fn late_reply_time(&self) -> Micros {
        self.settings.late_reply_time
    }

    /// Whether queries other than trials are suspended.
    pub fn is_breaker_open(&self) -> bool {
        !self.breaker.is_closed()
    }

    /// Counts of events since the limiter was created.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The present size of the state.
    pub fn usage(&self) -> Usage {
        Usage { in_flight: self.in_flight, queries: self.queries.len(), credits: self.credits.len() }
    }

    /// Starts the check of a request. `key` is a hash of the contents of its query, except the name of the attempt.
    pub fn start(&mut self, now: Micros, deadline: Micros, key: u64) -> Start {
        self.credits.expire(now);
        if let Some(expiry) = self.credits.take(key) {
            return Start::Credited { id: self.add_query(key, 0, QueryState::Counted, Some(expiry)) };
        }
        let left = deadline.saturating_sub(now) as f64;
        let query_time = self.settings.max_query_time.min((left * self.settings.max_time_fraction) as Micros);
        if self.in_flight >= self.settings.max_in_flight || query_time < MIN_QUERY_TIME {
            self.counters.unasked += 1;
            return Start::NoQuery(self.settings.fallback_decision(0));
        }
        match self.breaker.acquire(now) {
            Permit::Granted { epoch } => {
                let id = self.add_query(key, epoch, QueryState::AwaitingReply, None);
                self.in_flight += 1;
                self.counters.asked += 1;
                Start::Query { id, until: now + query_time }
            }
            Permit::Denied { retry_after } => {
                self.counters.unasked += 1;
                Start::NoQuery(self.settings.fallback_decision(retry_after))
            }
        }
    }

    /// Whether a query that the server has not processed may be sent again while its request waits for the reply.
    pub fn may_retry(&self, now: Micros, id: u64, until: Micros, attempts: u32) -> bool {
        let is_waiting = self.queries.get(&id).is_some_and(|query| query.state == QueryState::AwaitingReply);
        is_waiting && attempts < MAX_ATTEMPTS && now < until
    }

    /// Handles the result of a query. Returns `None` if the request no longer waits for it.
    pub fn on_reply(&mut self, now: Micros, id: u64, reply: Reply) -> Option<Decision> {
        let query = self.queries.get_mut(&id)?;
        match query.state {
            QueryState::Counted => None,
            QueryState::Abandoned => {
                let query = self.queries.remove(&id)?;
                self.in_flight -= 1;
                self.on_late_reply(now, &query, reply);
                None
            }
            QueryState::AwaitingReply => {
                let epoch = query.breaker_epoch;
                if reply == Reply::Ok {
                    // Kept until the end of the request is reported.
                    query.state = QueryState::Counted;
                } else {
                    self.queries.remove(&id);
                }
                self.in_flight -= 1;
                Some(self.on_reply_in_time(now, epoch, reply))
            }
        }
    }

    fn on_reply_in_time(&mut self, now: Micros, epoch: u64, reply: Reply) -> Decision {
        match reply {
            Reply::Ok => {
                self.breaker.on_success(epoch);
                self.counters.ok += 1;
                Decision::Proceed
            }
            Reply::OverLimit { reset } => {
                self.breaker.on_success(epoch);
                self.counters.over += 1;
                Decision::OverLimit { retry_after: self.settings.bounded_retry_after(reset.unwrap_or(0)) }
            }
            Reply::Failed => self.on_failure(now, epoch),
            Reply::ConnectionBroke { connection } => self.on_connection_broke(now, connection, epoch),
        }
    }

    /// Counts the break of a connection as one failure, however many queries it ends. A trial has an epoch of its own, so its
    /// failure counts even if an older query has reported the break of the same connection.
    fn on_connection_broke(&mut self, now: Micros, connection: u64, epoch: u64) -> Decision {
        if !self.broken_connections.insert((connection, epoch)) {
            self.counters.silent += 1;
            return self.settings.fallback_decision(0);
        }
        if self.broken_connections.len() > MAX_BROKEN_CONNECTIONS {
            self.broken_connections.pop_first();
        }
        self.on_failure(now, epoch)
    }

    /// The time-out of a query has passed. Returns `None` if its result has been handled before.
    pub fn on_timeout(&mut self, now: Micros, id: u64) -> Option<Decision> {
        let epoch = self.abandon(id)?;
        let decision = self.on_failure(now, epoch);
        if decision != Decision::Proceed {
            self.on_request_end(now, id, false);
        }
        Some(decision)
    }

    /// The caller was cancelled while it waited for the reply, so its request is not admitted.
    pub fn on_caller_cancelled(&mut self, now: Micros, id: u64) {
        if let Some(epoch) = self.abandon(id) {
            self.breaker.on_abandoned(now, epoch);
            self.on_request_end(now, id, false);
        }
    }

    /// Stops waiting for a reply. Returns the breaker's epoch of the query, or `None` if the request did not wait.
    fn abandon(&mut self, id: u64) -> Option<u64> {
        let query = self.queries.get_mut(&id).filter(|query| query.state == QueryState::AwaitingReply)?;
        query.state = QueryState::Abandoned;
        Some(query.breaker_epoch)
    }

    /// Records whether a request with [`Decision::Proceed`] or a credit was admitted in the end. Later calls have no effect.
    pub fn on_request_end(&mut self, now: Micros, id: u64, is_admitted: bool) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        query.is_admitted.get_or_insert(is_admitted);
        if query.state != QueryState::Counted {
            return;
        }
        let (key, credit_expiry) = (query.key, query.credit_expiry);
        self.queries.remove(&id);
        match (is_admitted, credit_expiry) {
            (true, Some(_)) => self.counters.credits_used += 1,
            (true, None) => {}
            // The credit is available again, with its original expiry. It has been counted before.
            (false, Some(expiry)) => self.credits.add(now, key, expiry),
            (false, None) => self.add_credit(now, key),
        }
    }

    /// A late reply is no longer expected.
    pub fn on_reply_lost(&mut self, id: u64) {
        if self.queries.get(&id).is_some_and(|query| query.state != QueryState::Counted) {
            self.queries.remove(&id);
            self.in_flight -= 1;
            self.counters.lost += 1;
        }
    }

    fn on_late_reply(&mut self, now: Micros, query: &Query, reply: Reply) {
        // A request whose end is not known yet has continued by the pool's own quota, and counts as admitted.
        let is_admitted = query.is_admitted.unwrap_or(true);
        match reply {
            Reply::Ok if is_admitted => self.counters.late_ok += 1,
            Reply::Ok => {
                self.counters.late_unused += 1;
                self.add_credit(now, query.key);
            }
            Reply::OverLimit { .. } if is_admitted => self.counters.late_over_let_in += 1,
            Reply::OverLimit { .. } | Reply::Failed | Reply::ConnectionBroke { .. } => {}
        }
    }

    fn on_failure(&mut self, now: Micros, epoch: u64) -> Decision {
        self.counters.silent += 1;
        if self.breaker.on_failure(now, epoch) {
            self.counters.opened += 1;
        }
        self.settings.fallback_decision(0)
    }

    fn add_credit(&mut self, now: Micros, key: u64) {
        self.counters.credited += 1;
        self.credits.add(now, key, now + self.settings.credit_ttl);
    }

    fn add_query(
        &mut self,
        key: u64,
        breaker_epoch: u64,
        state: QueryState,
        credit_expiry: Option<Micros>,
    ) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.queries.insert(id, Query { key, breaker_epoch, state, is_admitted: None, credit_expiry });
        id
    }
}

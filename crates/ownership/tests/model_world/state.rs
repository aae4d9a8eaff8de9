//! One state of the model, and its successors.

use violetyoke_ownership::{
    CallId, Claim, Epoch, FencingGuard, LeaseEvent, LeaseHolder, LeaseManager, LeaseRecord, Micros,
    RenewRequest, RenewResponse,
};

pub(crate) const TICK: Micros = 500_000;
pub(crate) const TTL: Micros = 2 * TICK;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Message {
    Request { from: usize, call: CallId, request: RenewRequest },
    Response { to: usize, call: CallId, response: RenewResponse },
    Operation { claim: Claim },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct State {
    pub(crate) now: Micros,
    pub(crate) manager: LeaseManager,
    pub(crate) record: LeaseRecord,
    pub(crate) epoch: Epoch,
    pub(crate) holders: [LeaseHolder; 2],
    /// The claim of each holder that has checked its lease and is about to operate.
    pub(crate) checked: [Option<Claim>; 2],
    pub(crate) in_flight: Vec<Message>,
    pub(crate) guard: FencingGuard,
    /// The newest epoch that has operated, and the first.
    pub(crate) newest_operated: Epoch,
    pub(crate) first_operated: Epoch,
    pub(crate) is_out_of_order: bool,
    pub(crate) restarts: u8,
    pub(crate) duplicates: u8,
    pub(crate) drops: u8,
    pub(crate) operations: [u8; 2],
    pub(crate) requests: [u64; 2],
}

impl State {
    /// The holder's lease, if it is valid.
    pub(crate) fn claim(&self, holder: usize) -> Option<Claim> {
        let claim = self.holders[holder].claims().next()?;
        self.holders[holder].is_valid(&claim, self.now).then_some(claim)
    }

    /// Handles a request, as the control plane does in one transaction.
    pub(crate) fn handle(&mut self, request: &RenewRequest) -> RenewResponse {
        let mut response = RenewResponse::default();
        self.manager.record_call(request, self.now);
        self.manager.complete_response(&mut response, request, self.now);
        for renewal in &request.renew {
            match self.manager.renew(Some(&self.record), &request.holder, renewal, 0) {
                Ok((record, grant)) => {
                    response.grants.push(grant);
                    self.put(record);
                }
                Err(reason) => response.lost.push((renewal.claim.clone(), reason)),
            }
        }
        for claim in &request.release {
            match self.manager.release(Some(&self.record), &request.holder, claim) {
                Ok(record) => self.put(record),
                Err(reason) => response.lost.push((claim.clone(), reason)),
            }
        }
        for claim in &request.expired {
            if let Ok(record) = self.manager.release_expired(Some(&self.record), &request.holder, claim) {
                self.put(record);
            }
        }
        if !self.manager.grantable_to(&request.holder, self.now).is_empty() {
            let epoch = self.epoch.advanced_by(1);
            if let Some((record, grant)) = self.manager.grant(&self.record, &request.holder, epoch, 0) {
                self.epoch = epoch;
                response.grants.push(grant);
                self.put(record);
            }
        }
        response
    }

    fn put(&mut self, record: LeaseRecord) {
        self.manager.observe(&record, self.now);
        self.record = record;
    }

    /// Revokes an expired lease.
    pub(crate) fn expire_leases(&mut self) {
        self.manager.remove_silent_candidates(self.now);
        if !self.manager.expired_shards(self.now).is_empty() {
            if let Some(record) = self.manager.expire(&self.record, self.now) {
                self.put(record);
            }
        }
    }

    pub(crate) fn on_response(&mut self, holder: usize, call: CallId, response: RenewResponse) {
        for event in self.holders[holder].on_response(call, response, self.now) {
            // A worker completes its operation before it hands over; in the model, no operation is in progress here.
            if let LeaseEvent::HandOverRequested(claim) = event {
                self.holders[holder].finish(&claim);
            }
        }
    }

    pub(crate) fn deliver(&mut self, message: Message, is_fenced: bool) {
        match message {
            Message::Request { from, call, request } => {
                let response = self.handle(&request);
                self.in_flight.push(Message::Response { to: from, call, response });
            }
            Message::Response { to, call, response } => self.on_response(to, call, response),
            Message::Operation { claim } => {
                if self.guard.admit(&claim.shard, claim.epoch).is_err() && is_fenced {
                    return;
                }
                self.is_out_of_order |= claim.epoch < self.newest_operated;
                self.newest_operated = self.newest_operated.max(claim.epoch);
                if self.first_operated == Epoch(0) {
                    self.first_operated = claim.epoch;
                }
            }
        }
    }

    /// Whether the other holder gets the lease in time if from now on the owner hangs, no message is lost, and the
    /// other makes progress.
    pub(crate) fn other_replaces_hung_owner(&self) -> bool {
        if !self.in_flight.is_empty() {
            return true;
        }
        let Some(hung) = (0..2).find(|holder| self.claim(*holder).is_some()) else { return true };
        let mut state = self.clone();
        for _ in 0..8 {
            state.now += TICK;
            state.expire_leases();
            for holder in 0..2 {
                drop(state.holders[holder].expire_leases(state.now)); // Nothing is in flight to be stopped.
                if let (true, Some(claim)) = (holder != hung, state.claim(holder)) {
                    state.holders[holder].record_progress(&claim, 1);
                }
                let (call, request) = state.holders[holder].next_request(state.now);
                let response = state.handle(&request);
                state.on_response(holder, call, response);
            }
            if state.claim(1 - hung).is_some() {
                return true;
            }
        }
        false
    }
}

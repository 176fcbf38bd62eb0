//! Calls that may run once: a claim in the table before the call is sent.

use citronrill_base::{Outcome, Row, Txn};
use prost::Message;

use super::{Answer, Effect, Entry, Purpose, RequestId, State, requests::STORE_RETRY_MS};
use crate::{
    refusal::{Ran, Refusal, RefusalKind},
    rows::{ClaimRow, ClaimState, claim_key, decode},
};

/// An answer is kept for repeats up to this size, in bytes.
pub const ANSWER_LIMIT: usize = 32 << 10;
/// When to come back while another request with the key may be running, in milliseconds.
const IN_FLIGHT_RETRY_MS: u64 = 2_000;

/// The claim of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Claim {
    key: String,
    token: u64,
    content: u64,
    version: u64,
}

impl Claim {
    pub(super) fn new(org: &str, hash: u64, content: u64, token: u64) -> Claim {
        Claim { key: claim_key(org, hash), token, content, version: 0 }
    }

    fn row(&self) -> ClaimRow {
        ClaimRow { token: self.token, content: self.content, ..ClaimRow::default() }
    }
}

impl Entry {
    /// Queues a request, after its claim if it has one.
    pub(super) fn claim_or_queue(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(claim) = &request.claim else { return self.enqueue(id, out) };
        request.state = State::Claiming;
        let mut txn = Txn::default();
        txn.put(claim.key.clone(), claim.version, Some(claim.row().encode_to_vec()));
        self.decide(Purpose::Claim(id), None, txn, out);
    }

    /// Goes on once the claim's outcome is known, or reads it back.
    ///
    /// Only the request whose token the row carries may be sent. Two entries that get the same key
    /// at once both write under the version they know; one conflicts and finds the other's token. A
    /// claim whose confirmation was lost is read back: the token says whose it is.
    pub(super) fn claim_committed(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(claim) = request.claim.as_mut() else { return };
        match outcome {
            Outcome::Committed(version) => {
                claim.version = version;
                self.enqueue(id, out);
            }
            Outcome::Conflict | Outcome::Unknown => {
                let key = claim.key.clone();
                out.push(Effect::ReadClaim(id, key));
            }
        }
    }

    pub(super) fn claim_read(&mut self, id: RequestId, row: Option<Row>, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !matches!(request.state, State::Claiming) {
            return;
        }
        let Some(claim) = request.claim.as_mut() else { return };
        let Some(row) = row else {
            // The call was not sent, and whoever finds the claim does not send it either.
            let refusal = Refusal::not_run(RefusalKind::StoreDown).retry_in(STORE_RETRY_MS);
            return self.refuse_unrun(id, refusal, out);
        };
        let version = row.version;
        match decode::<ClaimRow>(&row.body) {
            None => {
                claim.version = version;
                self.claim_or_queue(id, out);
            }
            Some(found) if found.token == claim.token => {
                claim.version = version;
                self.enqueue(id, out);
            }
            Some(found) => self.claimed_before(id, &found, out),
        }
    }

    /// Another request holds the key: give its answer, or say truthfully what is known.
    fn claimed_before(&mut self, id: RequestId, found: &ClaimRow, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let content = request.claim.take().map(|claim| claim.content);
        if content != Some(found.content) {
            return self.refuse(id, Refusal::not_run(RefusalKind::KeyReused), out);
        }
        match found.state() {
            ClaimState::Answered => {
                let answer = Answer {
                    status: found.status as u16,
                    content_type: found.content_type.clone(),
                    body: Some(found.body.clone()),
                };
                self.forget(id);
                out.push(Effect::Replay(id, answer));
            }
            ClaimState::AnsweredLarge => {
                let kind = RefusalKind::AnswerLarge;
                self.refuse(id, Refusal { kind, ran: Ran::Yes, retry_ms: None }, out);
            }
            ClaimState::Open => {
                let retry_ms = Some(IN_FLIGHT_RETRY_MS);
                let kind = RefusalKind::InFlight;
                self.refuse(id, Refusal { kind, ran: Ran::Unknown, retry_ms }, out);
            }
        }
    }

    /// Keeps the first answer for repeats.
    pub(super) fn close_claim(&mut self, claim: Claim, answer: Answer, out: &mut Vec<Effect>) {
        let mut row = claim.row();
        row.status = u32::from(answer.status);
        row.content_type = answer.content_type;
        match answer.body.filter(|body| body.len() <= ANSWER_LIMIT) {
            Some(body) => {
                row.state = ClaimState::Answered.into();
                row.body = body;
            }
            None => row.state = ClaimState::AnsweredLarge.into(),
        }
        let mut txn = Txn::default();
        txn.put(claim.key, claim.version, Some(row.encode_to_vec()));
        self.decide(Purpose::CloseClaim, None, txn, out);
    }

    /// Gives up the claim of a call that surely did not run, so that a repeat may run.
    ///
    /// If this write is lost the claim stays open and repeats are refused as in flight: too careful,
    /// and still true.
    pub(super) fn drop_claim(&mut self, claim: Claim, out: &mut Vec<Effect>) {
        if claim.version == 0 {
            return;
        }
        let mut txn = Txn::default();
        txn.put(claim.key, claim.version, None);
        self.decide(Purpose::CloseClaim, None, txn, out);
    }
}

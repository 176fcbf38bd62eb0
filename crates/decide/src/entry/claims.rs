//! Calls that may run at most once: a claim is committed to the platform table before the call is
//! sent.

use citronrill_base::{Outcome, Row, Txn};
use prost::Message;

use super::{Answer, Effect, Entry, Purpose, RequestId, State, requests::STORE_RETRY_MS};
use crate::{
    refusal::{Ran, Refusal, RefusalKind},
    rows::{ClaimRow, ClaimState, claim_key, decode},
};

/// Maximum size of an answer that is stored for replay, in bytes.
pub const ANSWER_LIMIT: usize = 32 << 10;
/// Suggested retry delay while another request with the same key may be running, in milliseconds.
const IN_FLIGHT_RETRY_MS: u64 = 2_000;

/// The claim of one request on its idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Claim {
    key: String,
    token: u64,
    body_hash: u64,
    version: u64,
}

impl Claim {
    pub(super) fn new(org: &str, hash: u64, body_hash: u64, token: u64) -> Claim {
        Claim { key: claim_key(org, hash), token, body_hash, version: 0 }
    }

    fn row(&self) -> ClaimRow {
        ClaimRow { token: self.token, body_hash: self.body_hash, ..ClaimRow::default() }
    }
}

impl Entry {
    /// Queues a request; one with a claim is queued after the claim is committed.
    pub(super) fn claim_or_queue(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(claim) = &request.claim else { return self.enqueue(id, out) };
        request.state = State::Claiming;
        let mut txn = Txn::default();
        txn.put(claim.key.clone(), claim.version, Some(claim.row().encode_to_vec()));
        self.commit(Purpose::Claim(id), None, txn, out);
    }

    /// Queues the request after its claim is committed; otherwise reads the claim back.
    ///
    /// Only the request whose token is in the row may be sent. Two entries that receive the same
    /// key at once write under the same known version; one conflicts and finds the other's token.
    /// A claim whose confirmation was lost is read back: the token shows which request holds it.
    pub(super) fn claim_txn_finished(
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
            // The call was not sent, and another request that finds the claim does not send it.
            let refusal = Refusal::not_run(RefusalKind::StoreDown).retry_in(STORE_RETRY_MS);
            return self.refuse_not_run(id, refusal, out);
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
            Some(found) => self.answer_duplicate(id, &found, out),
        }
    }

    /// Answers a request whose key another request holds: replays the stored answer, or refuses
    /// with what is known about the other call.
    fn answer_duplicate(&mut self, id: RequestId, found: &ClaimRow, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let body_hash = request.claim.take().map(|claim| claim.body_hash);
        if body_hash != Some(found.body_hash) {
            return self.refuse(id, Refusal::not_run(RefusalKind::KeyReused), out);
        }
        match found.state() {
            ClaimState::Answered => {
                let answer = Answer {
                    status: found.status as u16,
                    content_type: found.content_type.clone(),
                    body: Some(found.body.clone()),
                };
                self.remove_request(id);
                out.push(Effect::Replay(id, answer));
            }
            ClaimState::AnsweredLarge => {
                let kind = RefusalKind::AnswerTooLarge;
                self.refuse(id, Refusal { kind, ran: Ran::Yes, retry_ms: None }, out);
            }
            ClaimState::Open => {
                let retry_ms = Some(IN_FLIGHT_RETRY_MS);
                let kind = RefusalKind::InFlight;
                self.refuse(id, Refusal { kind, ran: Ran::Unknown, retry_ms }, out);
            }
        }
    }

    /// Stores the first answer for replay.
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
        self.commit(Purpose::CloseClaim, None, txn, out);
    }

    /// Deletes the claim of a call that did not run, so that a repeat may run.
    ///
    /// If this write is lost, the claim stays open and repeats are refused as in flight, which is
    /// conservative but correct.
    pub(super) fn drop_claim(&mut self, claim: Claim, out: &mut Vec<Effect>) {
        if claim.version == 0 {
            return;
        }
        let mut txn = Txn::default();
        txn.put(claim.key, claim.version, None);
        self.commit(Purpose::CloseClaim, None, txn, out);
    }
}

//! The fields that an entry reads from a request's JSON, and the JSON documents that it writes.

use citronrill_base::hash_bytes;
use citronrill_decide::{Ran, Refusal};
use serde::Deserialize;
use serde_json::{Value, json};

/// Number of characters at the start of the prompt that go into the prefix hash.
const PREFIX_CHARS: usize = 512;

/// The fields of a chat or completion request that determine its routing.
#[derive(Debug, Deserialize)]
pub(crate) struct ModelRequest {
    /// The model's name.
    pub(crate) model: String,
    /// Whether the response is to be streamed.
    #[serde(default)]
    pub(crate) stream: Option<bool>,
    #[serde(default)]
    messages: Vec<Value>,
    #[serde(default)]
    prompt: Value,
}

impl ModelRequest {
    /// Returns a hash of the start of the prompt. Routing prefers an engine that has served the
    /// same hash, whose prefix cache may contain the prompt's start.
    pub(crate) fn prefix_hash(&self) -> u64 {
        let first = match self.messages.first() {
            Some(message) => message["content"].to_string(),
            None => self.prompt.to_string(),
        };
        let start = first.chars().take(PREFIX_CHARS).collect::<String>();
        hash_bytes(format!("{}\n{start}", self.model).as_bytes()).max(1)
    }
}

/// Returns a problem document (RFC 9457) with the error object that OpenAI clients read.
pub(crate) fn problem(
    code: &str,
    status: u16,
    detail: &str,
    ran: Ran,
    retry: Option<u64>,
) -> String {
    let mut document = json!({
        "type": format!("urn:citronrill:problem:{code}"),
        "title": code,
        "status": status,
        "detail": detail,
        "ran": ran,
        "error": { "message": detail, "type": code, "code": code },
    });
    if let Some(millis) = retry {
        document["retry_after_ms"] = json!(millis);
    }
    document.to_string()
}

/// Returns the problem document of a refusal.
pub(crate) fn refusal_problem(refusal: &Refusal) -> String {
    let code = refusal.kind.as_str();
    let detail = match refusal.ran {
        Ran::No => format!("{code}: the call did not run"),
        Ran::Unknown => format!("{code}: it is not known whether the call ran"),
        Ran::Yes => format!("{code}: the call ran, but its answer is not whole"),
    };
    problem(code, refusal.kind.status(), &detail, refusal.ran, refusal.retry_ms)
}

/// Returns the response that lists an organisation's models.
pub(crate) fn model_list(names: &[String]) -> String {
    let entry =
        |name| json!({ "id": name, "object": "model", "created": 0, "owned_by": "citronrill" });
    json!({ "object": "list", "data": names.iter().map(entry).collect::<Vec<_>>() }).to_string()
}

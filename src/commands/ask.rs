//! `citronrill ask`: sends a question to a model.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::SocketAddr,
    time::Duration,
};

use argh::FromArgs;
use citronrill_http::client::Call;
use serde_json::{Value, json};

use crate::{
    exit::{CommandError, Exit},
    files::read_client_settings,
};

/// Time to wait for the next part of the answer.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum bytes of a line of the answer.
const MAX_LINE_BYTES: u64 = 1 << 20;
/// Maximum bytes of a refusal.
const MAX_PROBLEM_BYTES: usize = 64 << 10;

/// Send a question to a model and stream its answer; if refused, print whether the call ran.
#[derive(FromArgs)]
#[argh(subcommand, name = "ask")]
pub(crate) struct Ask {
    /// the name of the model or adapter
    #[argh(positional)]
    model: String,

    /// the question
    #[argh(positional)]
    text: String,

    /// the client's settings file
    #[argh(option)]
    settings: String,
}

impl Ask {
    pub(crate) fn run(self) -> Result<Exit, CommandError> {
        let settings = read_client_settings(&self.settings)?;
        ask(settings.http, &settings.key, &self.model, &self.text)
    }
}

/// Returns the next line without its end; none if the response has ended or the line is too long.
fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    reader.take(MAX_LINE_BYTES).read_until(b'\n', &mut line).ok()?;
    let line = line.strip_suffix(b"\n")?;
    Some(String::from_utf8_lossy(line.strip_suffix(b"\r").unwrap_or(line)).into_owned())
}

/// Sends a question to the entry at `http` and streams the answer to standard output.
pub(crate) fn ask(
    http: SocketAddr,
    key: &str,
    model: &str,
    text: &str,
) -> Result<Exit, CommandError> {
    let body = json!({ "model": model, "stream": true,
        "messages": [{ "role": "user", "content": text }] });
    let call = Call::new("POST", http, "/v1/chat/completions").read_timeout(READ_TIMEOUT);
    let call = call.header("Authorization", &format!("Bearer {key}"));
    let call = call.header("Content-Type", "application/json");
    let response = call.send(&mut body.to_string().as_bytes())?;
    let status = response.status();
    if status != 200 {
        let problem = response.into_text(MAX_PROBLEM_BYTES)?;
        let problem: Value = serde_json::from_slice(&problem).unwrap_or_default();
        eprintln!("refused: status {status}: {}", problem["detail"].as_str().unwrap_or("?"));
        eprintln!("ran: {}", problem["ran"].as_str().unwrap_or("unknown"));
        if let Some(millis) = problem["retry_after_ms"].as_u64() {
            eprintln!("retry after {millis} ms");
        }
        return Ok(Exit::Refused);
    }
    let mut reader = BufReader::new(response);
    let mut complete = false;
    let mut out = std::io::stdout();
    while let Some(line) = read_line(&mut reader) {
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            complete = true;
            break;
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        let token = event["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
        let _ = write!(out, "{token}").and_then(|()| out.flush());
    }
    println!();
    if complete {
        return Ok(Exit::Success);
    }
    eprintln!("the response was truncated");
    eprintln!("ran: yes");
    Ok(Exit::Refused)
}

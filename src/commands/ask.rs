//! `citronrill ask`: sends a question to a model.

use std::{
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
};

use argh::FromArgs;
use serde_json::{Value, json};

use crate::{
    exit::{CommandError, Exit},
    files::read_client_settings,
};

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

/// Sends a question to the entry at `http` and streams the answer to standard output.
pub(crate) fn ask(
    http: SocketAddr,
    key: &str,
    model: &str,
    text: &str,
) -> Result<Exit, CommandError> {
    let body = json!({ "model": model, "stream": true,
        "messages": [{ "role": "user", "content": text }] });
    let url = format!("http://{http}/v1/chat/completions");
    let request = attohttpc::post(url).bearer_auth(key).json(&body)?;
    let response = request.send()?;
    let status = response.status().as_u16();
    if status != 200 {
        let problem: Value = response.json_utf8().unwrap_or_default();
        eprintln!("refused: status {status}: {}", problem["detail"].as_str().unwrap_or("?"));
        eprintln!("ran: {}", problem["ran"].as_str().unwrap_or("unknown"));
        if let Some(millis) = problem["retry_after_ms"].as_u64() {
            eprintln!("retry after {millis} ms");
        }
        return Ok(Exit::Refused);
    }
    let (_, _, reader) = response.split();
    let mut complete = false;
    let mut out = std::io::stdout();
    for line in BufReader::new(reader).lines() {
        let Ok(line) = line else { break };
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

//! An HTTP server with a fixed number of threads.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
};

use thiserror::Error;
use tiny_http::{Request, Server};

/// Error of the start of a stand-in.
#[derive(Debug, Error)]
pub enum StandinError {
    /// The address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The HTTP library could not start.
    #[error("cannot serve HTTP: {0}")]
    Http(String),
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] io::Error),
}

/// A running server. Its threads end when it is dropped.
pub(crate) struct HttpServer {
    pub(crate) address: SocketAddr,
    server: Arc<Server>,
    threads: Vec<JoinHandle<()>>,
}

impl HttpServer {
    /// Serves on `address` with `count` threads.
    pub(crate) fn start(
        name: &str,
        address: SocketAddr,
        count: usize,
        handle: impl Fn(Request) + Send + Sync + 'static,
    ) -> Result<HttpServer, StandinError> {
        let listener = citronrill_http::listen(address);
        let listener = listener.map_err(|source| StandinError::Listen { address, source })?;
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None);
        let server = Arc::new(server.map_err(|error| StandinError::Http(error.to_string()))?);
        let handle = Arc::new(handle);
        let mut threads = Vec::new();
        for index in 0..count {
            let (server, handle) = (server.clone(), handle.clone());
            let builder = thread::Builder::new().name(format!("{name}-{index}"));
            threads.push(builder.stack_size(256 << 10).spawn(move || {
                while let Ok(request) = server.recv() {
                    handle(request);
                }
            })?);
        }
        Ok(HttpServer { address, server, threads })
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        for _ in &self.threads {
            self.server.unblock();
        }
    }
}

/// Reads a request's body.
pub(crate) fn read_body(request: &mut Request) -> Vec<u8> {
    let mut body = Vec::new();
    let _ = request.as_reader().read_to_end(&mut body);
    body
}

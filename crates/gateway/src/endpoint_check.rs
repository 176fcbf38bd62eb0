//! Checks whether the process of an endpoint has ended.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use citronrill_pool::{EndpointCheck, EntryEvent};
use tokio::{io::AsyncReadExt, sync::mpsc::UnboundedReceiver, time::timeout};

use crate::{
    entry::EventSender,
    error::GatewayError,
    http_client::{CONNECT_TIMEOUT_MS, connect},
};

/// Milliseconds within which a connection that no process serves is closed.
const CLOSE_MS: u64 = 30;

/// Checks endpoints until the control thread ends.
pub(crate) async fn run_endpoint_checks(
    mut addresses: UnboundedReceiver<SocketAddr>,
    events: EventSender,
) {
    while let Some(address) = addresses.recv().await {
        let events = events.clone();
        tokio::spawn(async move {
            let check = check_endpoint(address).await;
            events.send(EntryEvent::EndpointChecked(address, check));
        });
    }
}

/// Connects to an endpoint and disconnects again.
///
/// The kernel accepts connections for a process that is about to end, as does whatever stands in front of
/// an endpoint; they are closed at once. An endpoint also closes connections beyond its limit.
async fn check_endpoint(address: SocketAddr) -> EndpointCheck {
    match connect(address, CONNECT_TIMEOUT_MS).await {
        Ok(mut stream) => {
            let read = stream.read_u8();
            match timeout(Duration::from_millis(CLOSE_MS), read).await {
                Ok(Err(_)) => EndpointCheck::Unknown,
                Ok(Ok(_)) | Err(_) => EndpointCheck::Accepted,
            }
        }
        Err(GatewayError::Connect { source, .. })
            if source.kind() == ErrorKind::ConnectionRefused =>
        {
            EndpointCheck::Refused
        }
        Err(error) => {
            log::debug!("event=endpoint_silent address={address} error=\"{error}\"");
            EndpointCheck::Unknown
        }
    }
}

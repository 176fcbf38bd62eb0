//! Checks whether the process of an endpoint has ended.

use std::{io::ErrorKind, net::SocketAddr};

use citronrill_pool::{EndpointCheck, EntryEvent};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::{
    entry::EventSender,
    error::GatewayError,
    http_client::{CONNECT_TIMEOUT_MS, connect},
};

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
async fn check_endpoint(address: SocketAddr) -> EndpointCheck {
    match connect(address, CONNECT_TIMEOUT_MS).await {
        Ok(_) => EndpointCheck::Accepted,
        Err(GatewayError::Connect { source, .. })
            if source.kind() == ErrorKind::ConnectionRefused =>
        {
            EndpointCheck::Refused
        }
        Err(error) => {
            log::debug!("event=endpoint_silent address={address} error=\"{error}\"");
            EndpointCheck::Silent
        }
    }
}

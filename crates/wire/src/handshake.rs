//! Mutual authentication of two processes with the deployment's shared secret.
//!
//! Without it, anyone who can connect to the port could submit calls, read streams or inject rows.
//! Each end sends a nonce and then an HMAC over both [`Hello`] messages and its own direction. The
//! nonces prevent replay of a recorded proof, the direction prevents reflection of an end's own proof.

use std::io::{Read, Write};

use bytes::BytesMut;
use hmac::{Hmac, Mac};
use prost::Message;
use rand::Rng;
use sha2::Sha256;

use crate::{
    codec::{FrameReader, WireError, encode},
    frames::{Frame, Hello, Proof, frame::Kind},
};

const NONCE_SIZE: usize = 16;
/// Size of a proof: a full SHA-256 HMAC; truncated ones are rejected.
const MAC_SIZE: usize = 32;

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerRole {
    /// An entry.
    Entry,
    /// A side.
    Side,
    /// An operator's client.
    Operator,
}

impl PeerRole {
    fn number(self) -> u32 {
        match self {
            PeerRole::Entry => 1,
            PeerRole::Side => 2,
            PeerRole::Operator => 3,
        }
    }

    fn from_number(number: u32) -> Option<PeerRole> {
        [PeerRole::Entry, PeerRole::Side, PeerRole::Operator]
            .into_iter()
            .find(|role| role.number() == number)
    }
}

/// The identity of the local process.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The instance's name.
    pub name: String,
    /// Random number, generated when the process starts.
    pub session: u64,
    /// The role of the process.
    pub role: PeerRole,
}

/// The authenticated process at the other end of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The instance's name.
    pub name: String,
    /// Random number, generated when the process starts.
    pub session: u64,
    /// The role of the process.
    pub role: PeerRole,
}

/// One end of a handshake.
#[derive(Debug)]
pub struct Handshake<'a> {
    secret: &'a str,
    local: Hello,
    initiator: bool,
}

impl<'a> Handshake<'a> {
    /// Creates the local end of a handshake; `initiator` says whether this process opened the connection.
    pub fn new(secret: &'a str, identity: &Identity, initiator: bool) -> Handshake<'a> {
        let mut nonce = vec![0; NONCE_SIZE];
        rand::rng().fill(nonce.as_mut_slice());
        let local = Hello {
            nonce,
            name: identity.name.clone(),
            session: identity.session,
            role: identity.role.number(),
        };
        Handshake { secret, local, initiator }
    }

    /// Runs the handshake and returns the authenticated peer.
    ///
    /// # Errors
    /// [`WireError::Unauthenticated`] if the peer does not know the secret or reports an unknown role.
    pub fn run<R: Read>(
        &self,
        reader: &mut FrameReader<R>,
        writer: &mut impl Write,
    ) -> Result<Peer, WireError> {
        send(writer, self.local.clone().into())?;
        let Kind::Hello(remote) = reader.next_frame()? else {
            return Err(WireError::UnexpectedFrame);
        };
        let mac = self.mac(&remote, self.initiator).finalize().into_bytes().to_vec();
        send(writer, Proof { mac }.into())?;
        let Kind::Proof(proof) = reader.next_frame()? else {
            return Err(WireError::UnexpectedFrame);
        };
        let expected = self.mac(&remote, !self.initiator);
        if proof.mac.len() != MAC_SIZE || expected.verify_slice(&proof.mac).is_err() {
            return Err(WireError::Unauthenticated);
        }
        let role = PeerRole::from_number(remote.role).ok_or(WireError::Unauthenticated)?;
        Ok(Peer { name: remote.name, session: remote.session, role })
    }

    /// Returns the HMAC that the initiator or the acceptor has to send.
    fn mac(&self, remote: &Hello, from_initiator: bool) -> Hmac<Sha256> {
        let (first, second) =
            if self.initiator { (&self.local, remote) } else { (remote, &self.local) };
        let mut mac = new_mac(self.secret);
        mac.update(&[u8::from(from_initiator)]);
        mac.update(&first.encode_length_delimited_to_vec());
        mac.update(&second.encode_length_delimited_to_vec());
        mac
    }
}

fn new_mac(secret: &str) -> Hmac<Sha256> {
    Hmac::new_from_slice(secret.as_bytes()).expect("HMAC accepts keys of any length")
}

fn send(writer: &mut impl Write, frame: Frame) -> Result<(), WireError> {
    let mut buffer = BytesMut::new();
    encode(&frame, &mut buffer)?;
    writer.write_all(&buffer)?;
    Ok(writer.flush()?)
}

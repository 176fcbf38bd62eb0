//! Length-delimited messages between entries and sides.

use bytes::{Bytes, BytesMut};
use citronrill_wire::{FRAME_LIMIT, PoolFrame, PoolKind, WireError};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{
    TcpStream,
    tcp::{OwnedReadHalf, OwnedWriteHalf},
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Receives messages.
pub(crate) struct Receiver(FramedRead<OwnedReadHalf, LengthDelimitedCodec>);

/// Sends messages.
pub(crate) struct Sender(FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>);

/// Splits a connection into its receiver and sender.
pub(crate) fn split(stream: TcpStream) -> (Receiver, Sender) {
    let codec = || LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT).new_codec();
    let (read, write) = stream.into_split();
    (Receiver(FramedRead::new(read, codec())), Sender(FramedWrite::new(write, codec())))
}

impl Receiver {
    /// Receives the next message.
    pub(crate) async fn next(&mut self) -> Result<PoolKind, WireError> {
        let bytes: BytesMut = self.0.next().await.ok_or(WireError::Closed)??;
        PoolFrame::decode(bytes)?.kind.ok_or(WireError::UnknownKind)
    }
}

impl Sender {
    /// Sends a message.
    pub(crate) async fn send(&mut self, kind: PoolKind) -> Result<(), WireError> {
        let frame = PoolFrame { kind: Some(kind) };
        Ok(self.0.send(Bytes::from(frame.encode_to_vec())).await?)
    }
}

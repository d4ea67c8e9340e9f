//! A bidirectional stream of frames on a link.

use quinn::{
    ReadExactError,
    RecvStream,
    SendStream,
    VarInt, //
};

use crate::{
    Error,
    Frame,
    codec, //
};

/// Both halves of a stream.
pub struct Stream {
    /// The half that this process sends on.
    pub sender: Sender,
    /// The half that this process receives on.
    pub receiver: Receiver,
}

/// The sending half of a stream.
pub struct Sender(SendStream);

/// The receiving half of a stream.
pub struct Receiver(RecvStream);

/// QUIC error code of a stream that is aborted.
const STREAM_ABORTED_CODE: u32 = 1;

impl Stream {
    pub(crate) fn new(halves: (SendStream, RecvStream)) -> Self {
        Self {
            sender: Sender(halves.0),
            receiver: Receiver(halves.1),
        }
    }

    /// Sends a frame, as [`Sender::send`] does.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        self.sender.send(frame).await
    }

    /// Receives a frame, as [`Receiver::receive`] does.
    pub async fn receive(&mut self) -> Result<Option<Frame>, Error> {
        self.receiver.receive().await
    }
}

impl Sender {
    /// Sends a frame. After an error, the peer may or may not have received it.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        let bytes = codec::encode(frame)?;
        self.0.write_all(&bytes).await.map_err(lost)
    }

    /// Ends the sending half; frames sent before still arrive.
    pub fn finish(&mut self) {
        // Fails only when the stream is closed already.
        let _ = self.0.finish();
    }

    /// Waits until the peer stops reading, or the link is lost.
    pub async fn stopped(&mut self) {
        let _ = self.0.stopped().await;
    }

    /// Resets the sending half: the peer gets an error instead of the end of the stream.
    pub fn abort(&mut self) {
        let _ = self.0.reset(VarInt::from_u32(STREAM_ABORTED_CODE));
    }
}

impl Receiver {
    /// Receives a frame; `None` if the peer has ended the stream between two frames.
    ///
    /// Not cancel-safe: a partly read frame is lost.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`] when the link is lost or the stream ends within a frame, [`Error::TooLarge`]
    /// or [`Error::Malformed`] when the frame can't be decoded.
    pub async fn receive(&mut self) -> Result<Option<Frame>, Error> {
        let mut length = [0; codec::PREFIX_BYTES];
        match self.0.read_exact(&mut length).await {
            Ok(()) => {}
            Err(ReadExactError::FinishedEarly(0)) => return Ok(None),
            Err(error) => return Err(lost(error)),
        }
        let mut bytes = vec![0; codec::size(length)?];
        self.0.read_exact(&mut bytes).await.map_err(lost)?;
        codec::decode(&bytes).map(Some)
    }
}

fn lost(error: impl std::fmt::Display) -> Error {
    Error::Lost(error.to_string())
}

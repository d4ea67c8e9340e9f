//! One stream of frames on a link.

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
    /// What we send.
    pub sender: Sender,
    /// What we receive.
    pub receiver: Receiver,
}

/// The sending half of a stream.
pub struct Sender(SendStream);

/// The receiving half of a stream.
pub struct Receiver(RecvStream);

/// Code of a stream that one side gives up.
const GIVEN_UP: u32 = 1;

impl Stream {
    pub(crate) fn new(halves: (SendStream, RecvStream)) -> Self {
        Self {
            sender: Sender(halves.0),
            receiver: Receiver(halves.1),
        }
    }

    /// Sends a frame.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        self.sender.send(frame).await
    }

    /// Receives a frame; none when the peer has ended the stream.
    pub async fn receive(&mut self) -> Result<Option<Frame>, Error> {
        self.receiver.receive().await
    }
}

impl Sender {
    /// Sends a frame. An error tells nothing about whether the peer got it.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        let bytes = codec::encode(frame)?;
        self.0.write_all(&bytes).await.map_err(lost)
    }

    /// Ends our half; what was sent still arrives.
    pub fn finish(&mut self) {
        // The stream may be closed already, which is what is wanted.
        let _ = self.0.finish();
    }

    /// Waits until the peer stops reading, or the link is lost.
    pub async fn stopped(&mut self) {
        let _ = self.0.stopped().await;
    }

    /// Gives our half up: the peer gets an error, not an end.
    pub fn abort(&mut self) {
        let _ = self.0.reset(VarInt::from_u32(GIVEN_UP));
    }
}

impl Receiver {
    /// Receives a frame; none when the peer has ended the stream between two frames.
    ///
    /// Not safe to cancel: a part of a frame that was read is lost.
    pub async fn receive(&mut self) -> Result<Option<Frame>, Error> {
        let mut length = [0; codec::LENGTH];
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

//! Encoding of frames: a four-byte big-endian length, then the frame in `postcard` format.

use crate::{
    Error,
    Frame, //
};

/// Size in bytes of the length prefix of each frame.
pub const PREFIX_BYTES: usize = 4;

/// Maximum size of a frame in bytes. A larger one comes from a broken or hostile peer, or from a
/// body that the limits in the settings should have stopped. Without this limit, a single length
/// prefix could request 4 GiB.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// Encodes a frame with its length prefix.
///
/// # Errors
///
/// [`Error::TooLarge`] over [`MAX_FRAME_BYTES`], [`Error::Malformed`] when it can't be serialized.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    let prefix = vec![0; PREFIX_BYTES];
    let mut bytes = postcard::to_extend(frame, prefix)
        .map_err(|error| Error::Malformed(format!("can't be encoded: {error}")))?;
    let size = bytes.len() - PREFIX_BYTES;
    check_size(size)?;
    bytes[..PREFIX_BYTES].copy_from_slice(&(size as u32).to_be_bytes());
    Ok(bytes)
}

/// Decodes a length prefix.
///
/// # Errors
///
/// [`Error::TooLarge`] over [`MAX_FRAME_BYTES`].
pub fn size(length: [u8; PREFIX_BYTES]) -> Result<usize, Error> {
    let size = u32::from_be_bytes(length) as usize;
    check_size(size)?;
    Ok(size)
}

/// Decodes a frame without its length prefix.
///
/// # Errors
///
/// [`Error::Malformed`] unless the bytes are exactly one frame.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    let (frame, rest) = postcard::take_from_bytes(bytes)
        .map_err(|error| Error::Malformed(format!("can't be decoded: {error}")))?;
    if !rest.is_empty() {
        return Err(Error::Malformed(format!("{} trailing bytes", rest.len())));
    }
    Ok(frame)
}

fn check_size(size: usize) -> Result<(), Error> {
    if size > MAX_FRAME_BYTES {
        return Err(Error::TooLarge {
            size,
            limit: MAX_FRAME_BYTES,
        });
    }
    Ok(())
}

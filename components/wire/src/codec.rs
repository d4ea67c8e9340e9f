//! Frames as bytes: a length of four bytes, most significant first, then the frame by `postcard`.

use crate::{
    Error,
    Frame, //
};

/// Bytes of the length before each frame.
pub const LENGTH: usize = 4;

/// Largest frame in bytes. A larger one is a broken or hostile peer, or a body that the bounds in
/// the settings should have stopped; without this bound a single length could ask for 4 GiB.
pub const MOST: usize = 64 << 20;

/// Writes a frame with its length.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    let start = vec![0; LENGTH];
    let mut bytes = postcard::to_extend(frame, start)
        .map_err(|error| Error::Malformed(format!("can't be written: {error}")))?;
    let size = bytes.len() - LENGTH;
    check(size)?;
    bytes[..LENGTH].copy_from_slice(&(size as u32).to_be_bytes());
    Ok(bytes)
}

/// Reads the length before a frame.
pub fn size(length: [u8; LENGTH]) -> Result<usize, Error> {
    let size = u32::from_be_bytes(length) as usize;
    check(size)?;
    Ok(size)
}

/// Reads a frame without its length.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    let (frame, rest) = postcard::take_from_bytes(bytes)
        .map_err(|error| Error::Malformed(format!("can't be read: {error}")))?;
    if !rest.is_empty() {
        return Err(Error::Malformed(format!("{} bytes too many", rest.len())));
    }
    Ok(frame)
}

fn check(size: usize) -> Result<(), Error> {
    if size > MOST {
        return Err(Error::Large { size, most: MOST });
    }
    Ok(())
}

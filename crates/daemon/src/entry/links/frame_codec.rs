//! Frames between instances as bytes.

use {
    async_tungstenite::tungstenite::Bytes,
    flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder},
    std::io::{self, Read, Write},
    thiserror::Error,
    whinlatch_serving::fleet::Frame,
    whinlatch_wire::peer::MAX_FRAME_BYTES,
};

/// Bytes from which a frame is compressed. News of prompts stays well below; what is published is above, and
/// goes to some sixty instances over one link each: uncompressed, a configuration of 1,400 routes keeps a
/// relay's link busy for most of a second, and what other instances ask of it waits behind.
const COMPRESSED_FROM_BYTES: usize = 8 * 1_024;
/// First byte of a compressed frame, as zlib has it; no frame in CBOR begins so.
const COMPRESSED_MARK: u8 = 0x78;

/// Why a frame isn't sent.
#[derive(Debug, Error)]
pub enum EncodeFault {
    /// It has no form in CBOR.
    #[error("a frame can't be encoded: {0}")]
    Cbor(#[from] ciborium::ser::Error<io::Error>),
    /// It can't be compressed.
    #[error("a frame can't be compressed: {0}")]
    Compression(#[from] io::Error),
}

/// Why a frame of a peer can't be read.
#[derive(Debug, Error)]
#[error("a frame of a peer can't be read: {0}")]
pub struct DecodeFault(#[from] ciborium::de::Error<io::Error>);

/// Encodes a frame.
///
/// # Errors
/// [`EncodeFault`].
pub fn encode_frame(frame: &Frame) -> Result<Bytes, EncodeFault> {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes)?;
    if bytes.len() < COMPRESSED_FROM_BYTES {
        return Ok(Bytes::from(bytes));
    }
    let mut packed = ZlibEncoder::new(Vec::new(), Compression::fast());
    packed.write_all(&bytes)?;
    Ok(Bytes::from(packed.finish()?))
}

/// Decodes a frame. One that would be larger than a link takes is cut off there, and can't be read.
///
/// # Errors
/// [`DecodeFault`].
pub fn decode_frame(bytes: &[u8]) -> Result<Frame, DecodeFault> {
    if bytes.first() != Some(&COMPRESSED_MARK) {
        return Ok(ciborium::from_reader(bytes)?);
    }
    let most = MAX_FRAME_BYTES as u64;
    Ok(ciborium::from_reader(ZlibDecoder::new(bytes).take(most))?)
}

//! Encodes and decodes the frames between instances: CBOR, compressed by zlib if large.

use {
    async_tungstenite::tungstenite::Bytes,
    flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder},
    std::io::{self, Read, Write},
    thiserror::Error,
    whinlatch_serving::fleet::Frame,
    whinlatch_wire::peer::MAX_FRAME_BYTES,
};

/// Size from which a frame is compressed, in bytes. News of prompts stays well below it; the published state is
/// above, and goes to some sixty instances over one link each. Uncompressed, a configuration of 1,400 routes
/// keeps a relay's network busy for most of a second, and responses to other instances wait behind it.
const COMPRESSION_THRESHOLD_BYTES: usize = 8 * 1_024;
/// First byte of a zlib stream, which marks a compressed frame; no frame in CBOR begins with it.
const ZLIB_FIRST_BYTE: u8 = 0x78;

/// Reason why a frame can't be encoded.
#[derive(Debug, Error)]
pub enum EncodeFault {
    /// The CBOR encoder failed.
    #[error("a frame can't be encoded: {0}")]
    Cbor(#[from] ciborium::ser::Error<io::Error>),
    /// The compressor failed.
    #[error("a frame can't be compressed: {0}")]
    Compression(#[from] io::Error),
}

/// Reason why a peer's frame can't be decoded.
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
    if bytes.len() < COMPRESSION_THRESHOLD_BYTES {
        return Ok(Bytes::from(bytes));
    }
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&bytes)?;
    Ok(Bytes::from(encoder.finish()?))
}

/// Decodes a frame. The decompressed size is limited to [`MAX_FRAME_BYTES`]; a larger frame fails to decode.
///
/// # Errors
/// [`DecodeFault`].
pub fn decode_frame(bytes: &[u8]) -> Result<Frame, DecodeFault> {
    if bytes.first() != Some(&ZLIB_FIRST_BYTE) {
        return Ok(ciborium::from_reader(bytes)?);
    }
    let max_bytes = MAX_FRAME_BYTES as u64;
    Ok(ciborium::from_reader(
        ZlibDecoder::new(bytes).take(max_bytes),
    )?)
}

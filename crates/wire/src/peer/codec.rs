use {super::PeerFrame, thiserror::Error};

/// Largest encoded frame that is sent or accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1_048_576;

/// The error for a frame that can't be encoded or decoded.
#[derive(Debug, Error)]
pub enum PeerCodecError {
    /// The frame exceeds [`MAX_FRAME_BYTES`].
    #[error("a frame of {bytes} bytes exceeds the limit of {MAX_FRAME_BYTES}: split it up")]
    TooLarge {
        /// Size of the encoded frame, in bytes.
        bytes: usize,
    },
    /// The bytes are not a valid frame, or the frame can't be represented in CBOR.
    #[error("the bytes are not a peer frame ({detail}): close the link and reconnect")]
    Malformed {
        /// Message of the CBOR codec.
        detail: String,
    },
}

/// Encodes a frame as CBOR.
///
/// # Errors
/// [`PeerCodecError::TooLarge`] if the encoded frame exceeds [`MAX_FRAME_BYTES`];
/// [`PeerCodecError::Malformed`] if the codec fails.
pub fn encode_frame(frame: &PeerFrame) -> Result<Vec<u8>, PeerCodecError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).map_err(|error| PeerCodecError::Malformed {
        detail: error.to_string(),
    })?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(PeerCodecError::TooLarge { bytes: bytes.len() });
    }
    Ok(bytes)
}

/// Decodes a frame and ignores parts that this version doesn't know.
///
/// # Errors
/// [`PeerCodecError::TooLarge`] before anything is decoded if there are more than
/// [`MAX_FRAME_BYTES`]; [`PeerCodecError::Malformed`] if the bytes are not a frame.
pub fn decode_frame(bytes: &[u8]) -> Result<PeerFrame, PeerCodecError> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(PeerCodecError::TooLarge { bytes: bytes.len() });
    }
    ciborium::from_reader(bytes).map_err(|error| PeerCodecError::Malformed {
        detail: error.to_string(),
    })
}

use {super::PeerFrame, thiserror::Error};

/// Largest frame that is sent or accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1_048_576;

/// A frame that can't be encoded or decoded.
#[derive(Debug, Error)]
pub enum PeerCodecError {
    /// The frame is over the limit.
    #[error("a frame of {bytes} bytes is over the limit of {MAX_FRAME_BYTES}: send less in one")]
    TooLarge {
        /// Its size.
        bytes: usize,
    },
    /// The bytes aren't a frame.
    #[error("the bytes are not a peer frame ({detail}): close the link and connect anew")]
    Malformed {
        /// What the codec says.
        detail: String,
    },
}

/// Encodes a frame.
///
/// # Errors
/// [`PeerCodecError::TooLarge`] if the frame is over [`MAX_FRAME_BYTES`].
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

/// Decodes a frame. Unknown parts are passed over.
///
/// # Errors
/// [`PeerCodecError`] if the bytes are too many or no frame.
pub fn decode_frame(bytes: &[u8]) -> Result<PeerFrame, PeerCodecError> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(PeerCodecError::TooLarge { bytes: bytes.len() });
    }
    ciborium::from_reader(bytes).map_err(|error| PeerCodecError::Malformed {
        detail: error.to_string(),
    })
}

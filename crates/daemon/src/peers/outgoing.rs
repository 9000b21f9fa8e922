use {
    crate::targets::GuardedStream,
    async_tungstenite::{
        WebSocketStream,
        tungstenite::{Message, protocol::WebSocketConfig},
    },
    futures::{
        SinkExt, StreamExt,
        stream::{SplitSink, SplitStream},
    },
    thiserror::Error,
    whinlatch_wire::peer::{
        MAX_FRAME_BYTES, PeerCodecError, PeerFrame, decode_frame, encode_frame,
    },
};

/// The sending half of a link.
pub type LinkSender = SplitSink<WebSocketStream<GuardedStream>, Message>;
/// The receiving half of a link.
pub type LinkReceiver = SplitStream<WebSocketStream<GuardedStream>>;

/// Reason why a link can't carry more frames.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The peer closed the link.
    #[error("the peer closed the link: see its log")]
    Closed,
    /// The WebSocket connection failed.
    #[error("the link failed ({0}): it is opened again")]
    Failed(#[from] Box<async_tungstenite::tungstenite::Error>),
    /// A frame can't be encoded or decoded.
    #[error(transparent)]
    Codec(#[from] PeerCodecError),
}

/// Returns the WebSocket settings, which limit the size of a peer's frames.
pub fn link_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

/// Sends a frame. Records that don't fit into one frame are sent in several.
pub async fn send_frame(sender: &mut LinkSender, frame: PeerFrame) -> Result<(), LinkError> {
    for bytes in encode_split(frame)? {
        send_bytes(sender, bytes).await?;
    }
    Ok(())
}

/// Encodes a frame, split into several if its records don't fit into one. Fails if a single record
/// or the rest of the frame is too large.
pub fn encode_split(frame: PeerFrame) -> Result<Vec<Vec<u8>>, PeerCodecError> {
    let mut encoded = Vec::new();
    let mut pending = vec![frame];
    while let Some(mut frame) = pending.pop() {
        match encode_frame(&frame) {
            Ok(bytes) => encoded.push(bytes),
            Err(PeerCodecError::TooLarge { .. }) if frame.records.len() > 1 => {
                let half = frame.records.len() / 2;
                // Only the last frame may be marked as the end of a pull.
                let rest = PeerFrame {
                    records: frame.records.split_off(half),
                    pull_done: std::mem::take(&mut frame.pull_done),
                    ..PeerFrame::default()
                };
                pending.push(rest);
                pending.push(frame);
            }
            Err(error) => return Err(error),
        }
    }
    Ok(encoded)
}

async fn send_bytes(sender: &mut LinkSender, bytes: Vec<u8>) -> Result<(), LinkError> {
    sender
        .send(Message::binary(bytes))
        .await
        .map_err(|error| LinkError::Failed(Box::new(error)))
}

/// Receives the next frame.
pub async fn receive_frame(receiver: &mut LinkReceiver) -> Result<PeerFrame, LinkError> {
    loop {
        let message = receiver
            .next()
            .await
            .ok_or(LinkError::Closed)?
            .map_err(|error| LinkError::Failed(Box::new(error)))?;
        match message {
            Message::Binary(bytes) => return Ok(decode_frame(&bytes)?),
            Message::Close(_) => return Err(LinkError::Closed),
            // The library answers pings; the protocol has no text messages.
            Message::Text(_) | Message::Ping(_) | Message::Pong(_) | Message::Frame(_) => {}
        }
    }
}

#[cfg(test)]
#[path = "outgoing_test.rs"]
mod tests;

use {
    async_channel::{Receiver, Sender},
    futures::{StreamExt, TryStreamExt, io::AsyncBufRead, stream::Stream},
    serde::Serialize,
    std::{io, pin::Pin},
    whinlatch_wire::{
        caller::{CompletionChoice, CompletionChunk, Outcome},
        ids::{ModelName, RequestId},
        target::StreamChunk,
    },
};

/// Events queued for a slow caller.
const EVENT_QUEUE_LEN: usize = 64;
/// The last event of each stream.
const DONE: &str = "data: [DONE]\n\n";

/// The caller has disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerGone;

/// The sending half of a streamed answer.
#[derive(Debug)]
pub struct ChunkSender {
    request: RequestId,
    model: ModelName,
    events: Sender<Vec<u8>>,
}

/// The receiving half of a streamed answer; dropped when the caller disconnects.
#[derive(Debug)]
pub struct ChunkReceiver(Receiver<Vec<u8>>);

/// Creates the two halves of a streamed answer.
pub fn stream_answer(request: RequestId, model: ModelName) -> (ChunkSender, ChunkReceiver) {
    let (events, received) = async_channel::bounded(EVENT_QUEUE_LEN);
    let sender = ChunkSender {
        request,
        model,
        events,
    };
    (sender, ChunkReceiver(received))
}

impl ChunkSender {
    /// Sends a target's chunk to the caller.
    pub async fn send_chunk(&self, chunk: &StreamChunk) -> Result<(), CallerGone> {
        let choice = CompletionChoice {
            index: 0,
            text: chunk.text.clone(),
            finish_reason: chunk.end.then(|| "stop".to_owned()),
        };
        let chunk = CompletionChunk {
            id: self.request,
            object: "text_completion".to_owned(),
            model: self.model.clone(),
            choices: vec![choice],
        };
        self.send(event("", &chunk)).await
    }

    /// Sends the outcome and the end of the stream.
    pub async fn end(&self, outcome: &Outcome) -> Result<(), CallerGone> {
        self.send(event("event: outcome\n", outcome)).await?;
        self.send(DONE.as_bytes().to_vec()).await
    }

    /// Waits until the caller disconnects.
    pub async fn closed(&self) {
        self.events.closed().await;
    }

    async fn send(&self, event: Vec<u8>) -> Result<(), CallerGone> {
        self.events.send(event).await.map_err(|_closed| CallerGone)
    }
}

impl ChunkReceiver {
    /// Converts the events to the body of an HTTP response.
    pub fn into_reader(self) -> impl AsyncBufRead + Unpin + Send + Sync + 'static {
        let events: Pin<Box<dyn Stream<Item = io::Result<Vec<u8>>> + Send + Sync>> =
            Box::pin(self.0.map(Ok));
        events.into_async_read()
    }
}

fn event<T: Serialize>(name: &str, data: &T) -> Vec<u8> {
    let json = serde_json::to_string(data).unwrap_or_default();
    format!("{name}data: {json}\n\n").into_bytes()
}

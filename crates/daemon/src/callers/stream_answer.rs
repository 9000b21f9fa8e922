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

/// Events that may wait for a slow caller.
const WAITING_EVENTS: usize = 64;
/// The last event of each stream.
const DONE: &str = "data: [DONE]\n\n";

/// The caller takes no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerGone;

/// Sends the events of one answer.
#[derive(Debug)]
pub struct ChunkSender {
    request: RequestId,
    model: ModelName,
    events: Sender<Vec<u8>>,
}

/// Takes the events of one answer.
#[derive(Debug)]
pub struct ChunkReceiver(Receiver<Vec<u8>>);

/// A stream of events, both ends.
pub fn stream_answer(request: RequestId, model: ModelName) -> (ChunkSender, ChunkReceiver) {
    let (events, taken) = async_channel::bounded(WAITING_EVENTS);
    let sender = ChunkSender {
        request,
        model,
        events,
    };
    (sender, ChunkReceiver(taken))
}

impl ChunkSender {
    /// Passes a chunk on.
    pub async fn pass(&self, chunk: &StreamChunk) -> Result<(), CallerGone> {
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

    /// Ends the stream.
    pub async fn end(&self, outcome: &Outcome) -> Result<(), CallerGone> {
        self.send(event("event: outcome\n", outcome)).await?;
        self.send(DONE.as_bytes().to_vec()).await
    }

    /// Waits until the caller takes no more.
    pub async fn gone(&self) {
        self.events.closed().await;
    }

    async fn send(&self, event: Vec<u8>) -> Result<(), CallerGone> {
        self.events.send(event).await.map_err(|_closed| CallerGone)
    }
}

impl ChunkReceiver {
    /// The events as the body of an answer.
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

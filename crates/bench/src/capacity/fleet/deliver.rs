//! Delivery of messages to daemons, and execution of the actions that their cores return.

use {
    super::{
        Fleet,
        daemon::Watch,
        target_calls::{TargetAnswer, answer_call},
    },
    crate::capacity::clock::timed,
    std::{net::SocketAddr, sync::Arc},
    whinlatch_core::{Action, Event, PlatformEvent, TargetCall, TargetEvent},
    whinlatch_wire::{
        ids::{Incarnation, Revision, TargetName},
        peer::{Hello, HelloProof, PeerFrame, decode_frame, encode_frame},
    },
};

/// Length of a handshake proof, in bytes.
const PROOF_BYTES: usize = 32;
/// Mask in the header of each WebSocket message from the side that opened the link, in bytes.
const MASK_BYTES: u64 = 4;

/// A message that arrives in the next round.
#[derive(Debug)]
pub(super) struct QueuedDelivery {
    /// Number of the receiving daemon.
    pub(super) to: usize,
    pub(super) delivery: Delivery,
}

/// Content of a message, encoded as it would be on the network.
#[derive(Debug)]
pub(super) enum Delivery {
    Frame { from: Incarnation, bytes: Vec<u8> },
    PeerUp(Hello),
    PeerDown(SocketAddr, Option<Incarnation>),
    Records(Arc<Vec<u8>>),
    RecordsFailed,
    Instances(Arc<Vec<u8>>),
    InstancesFailed,
    Target(TargetName, Box<TargetAnswer>),
}

impl Fleet {
    /// Delivers the messages sent in the previous round. Returns whether there were any.
    pub fn deliver_round(&mut self) -> bool {
        let mut queue = std::mem::take(&mut self.queue);
        if queue.is_empty() {
            return false;
        }
        queue.sort_by_key(|queued| queued.to);
        let mut rest = queue.into_iter().peekable();
        while let Some(first) = rest.next() {
            let to = first.to;
            let mut deliveries = vec![first.delivery];
            while let Some(next) = rest.next_if(|next| next.to == to) {
                deliveries.push(next.delivery);
            }
            if self.daemons[to].alive {
                let events = self.decode(to, deliveries);
                self.handle_events(to, events);
            }
        }
        true
    }

    fn decode(&mut self, to: usize, deliveries: Vec<Delivery>) -> Vec<Event> {
        let mut codec_ns = 0;
        let events = timed(&mut codec_ns, || {
            deliveries.into_iter().map(Delivery::into_event).collect()
        });
        self.daemons[to].counters.codec_ns += codec_ns;
        events
    }

    /// Executes the actions of a daemon.
    pub(super) fn execute(&mut self, number: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, frame } => self.send(number, to, &frame),
                Action::Link { address } => self.open_link(number, address),
                Action::Unlink { peer } => {
                    if let Some(other) = self.index_of(peer) {
                        self.close_link(number, other);
                    }
                }
                Action::ReadRecords { after, wait_ms } => self.read_records(number, after, wait_ms),
                Action::ReadInstances => self.read_list(number),
                Action::Call { target, call, .. } => self.call(number, target, &call),
                Action::Decided(decision) => {
                    let counters = &mut self.daemons[number].counters;
                    counters.decisions += 1;
                    counters.decision_bytes += decision.text.len() as u64;
                }
                // Requests are measured in `measure::requests`, without a fleet.
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: Incarnation, frame: &PeerFrame) {
        let counters = &mut self.daemons[from].counters;
        let encoded = timed(&mut counters.codec_ns, || encode_frame(frame));
        let Ok(bytes) = encoded else {
            counters.frames_too_large += 1;
            return;
        };
        counters.frames_out += 1;
        let wire_bytes = websocket_bytes(bytes.len());
        counters.peer_bytes_out += wire_bytes;
        let Some(to) = self.index_of(to) else {
            return;
        };
        if self.links.is_open(from, to) {
            self.daemons[to].counters.peer_bytes_in += wire_bytes;
            let from = self.daemons[from].hello.incarnation;
            self.queue.push(QueuedDelivery {
                to,
                delivery: Delivery::Frame { from, bytes },
            });
        }
    }

    fn open_link(&mut self, from: usize, address: SocketAddr) {
        let reachable = self
            .at_address(address)
            .filter(|to| *to != from && self.daemons[*to].alive && self.can_connect(from, *to));
        let Some(to) = reachable else {
            self.queue.push(QueuedDelivery {
                to: from,
                delivery: Delivery::PeerDown(address, None),
            });
            return;
        };
        if !self.links.open(from, to) {
            return;
        }
        for (one, other) in [(from, to), (to, from)] {
            let hello = self.daemons[other].hello.clone();
            let wire_bytes = handshake_bytes(&hello);
            self.daemons[one].counters.peer_bytes_in += wire_bytes;
            let counters = &mut self.daemons[other].counters;
            counters.peer_bytes_out += wire_bytes;
            counters.links_opened += 1;
            self.queue.push(QueuedDelivery {
                to: one,
                delivery: Delivery::PeerUp(hello),
            });
        }
    }

    /// Closes the link between two daemons, if there is one, and informs both.
    pub(super) fn close_link(&mut self, a: usize, b: usize) {
        if !self.links.close(a, b) {
            return;
        }
        for (one, other) in [(a, b), (b, a)] {
            let hello = &self.daemons[other].hello;
            let delivery = Delivery::PeerDown(hello.peer_address, Some(hello.incarnation));
            self.queue.push(QueuedDelivery { to: one, delivery });
        }
    }

    fn can_connect(&self, a: usize, b: usize) -> bool {
        !self.partitioned || self.daemons[a].region == self.daemons[b].region
    }

    /// Answers a read of records immediately if there are newer ones or it fails; otherwise when a newer one
    /// is published or after `wait_ms`.
    fn read_records(&mut self, number: usize, after: Revision, wait_ms: u64) {
        self.daemons[number].counters.record_reads += 1;
        if !self.platform.admits(self.now) {
            self.refuse(number, Delivery::RecordsFailed);
            return;
        }
        if self.daemons[number].reads_platform && wait_ms > 0 && after >= self.newest_revision() {
            let expires_at = self.now + wait_ms;
            self.daemons[number].watch = Some(Watch { after, expires_at });
            return;
        }
        self.send_page(number, after);
    }

    fn read_list(&mut self, number: usize) {
        self.daemons[number].counters.list_reads += 1;
        if !self.platform.admits(self.now) {
            self.refuse(number, Delivery::InstancesFailed);
            return;
        }
        let delivery = if self.daemons[number].reads_platform {
            let list = self.platform.list();
            self.daemons[number].counters.platform_bytes_in += list.len() as u64;
            Delivery::Instances(list)
        } else {
            Delivery::InstancesFailed
        };
        self.queue.push(QueuedDelivery {
            to: number,
            delivery,
        });
    }

    /// Counts a read that the platform refused and delivers the failure.
    fn refuse(&mut self, number: usize, delivery: Delivery) {
        self.daemons[number].counters.refused_reads += 1;
        self.queue.push(QueuedDelivery {
            to: number,
            delivery,
        });
    }

    fn call(&mut self, number: usize, target: TargetName, call: &TargetCall) {
        let counters = &mut self.daemons[number].counters;
        counters.target_calls += 1;
        let Some(answer) = answer_call(&target, call, self.streams_per_target) else {
            return;
        };
        counters.target_bytes_out += answer.bytes_out;
        counters.target_bytes_in += answer.bytes_in;
        self.queue.push(QueuedDelivery {
            to: number,
            delivery: Delivery::Target(target, Box::new(answer)),
        });
    }
}

impl Delivery {
    /// Decodes the message with the codec of its interface into the event for the receiver.
    fn into_event(self) -> Event {
        match self {
            Self::Frame { from, bytes } => {
                let frame = decode_frame(&bytes).expect("the frame was encoded by the same codec");
                Event::PeerFrame {
                    from,
                    frame: Box::new(frame),
                }
            }
            Self::PeerUp(hello) => Event::PeerUp { hello },
            Self::PeerDown(address, peer) => Event::PeerDown { address, peer },
            Self::Records(json) => {
                let page =
                    serde_json::from_slice(&json).expect("the page was encoded by this process");
                Event::Platform(PlatformEvent::Records(page))
            }
            Self::RecordsFailed => Event::Platform(PlatformEvent::RecordsFailed),
            Self::Instances(json) => {
                let list =
                    serde_json::from_slice(&json).expect("the list was encoded by this process");
                Event::Platform(PlatformEvent::Instances(list))
            }
            Self::InstancesFailed => Event::Platform(PlatformEvent::InstancesFailed),
            Self::Target(target, answer) => {
                let event = match &answer.json {
                    Some(json) => TargetEvent::Report(
                        serde_json::from_slice(json)
                            .expect("the report was encoded by this process"),
                    ),
                    None => answer.event,
                };
                Event::Target { target, event }
            }
        }
    }
}

/// Returns the size of a WebSocket message with a frame of this size: header and frame, and half a mask,
/// since only one side of a link masks.
fn websocket_bytes(frame: usize) -> u64 {
    let header = match frame {
        0..=125 => 2,
        126..=65_535 => 4,
        _ => 10,
    };
    frame as u64 + header + MASK_BYTES / 2
}

/// Returns the size of the handshake messages that one side of a link sends.
fn handshake_bytes(hello: &Hello) -> u64 {
    let frames = [
        PeerFrame {
            hello: Some(hello.clone()),
            ..PeerFrame::default()
        },
        PeerFrame {
            proof: Some(HelloProof {
                mac: vec![0xff; PROOF_BYTES],
            }),
            ..PeerFrame::default()
        },
    ];
    frames
        .iter()
        .filter_map(|frame| encode_frame(frame).ok())
        .map(|bytes| websocket_bytes(bytes.len()))
        .sum()
}

//! What is on its way to a daemon, and what becomes of its actions.

use {
    super::{
        Fleet,
        daemon::Watch,
        target_calls::{TargetAnswer, answer},
    },
    crate::capacity::clock::timed,
    std::{net::SocketAddr, sync::Arc},
    whinlatch_core::{Action, Event, PlatformEvent, TargetCall, TargetEvent},
    whinlatch_wire::{
        ids::{Incarnation, Revision, TargetName},
        peer::{Hello, HelloProof, PeerFrame, decode_frame, encode_frame},
    },
};

/// Bytes of a proof.
const PROOF_BYTES: usize = 32;
/// Mask that the side which opened a link puts into each websocket head, in bytes.
const MASK_BYTES: u64 = 4;

/// A message on its way.
#[derive(Debug)]
pub(super) struct Queued {
    pub(super) to: usize,
    pub(super) delivery: Delivery,
}

/// What is on its way.
#[derive(Debug)]
pub(super) enum Delivery {
    Frame { from: Incarnation, bytes: Vec<u8> },
    PeerUp(Hello),
    PeerDown(SocketAddr, Option<Incarnation>),
    Page(Arc<Vec<u8>>),
    RecordsFailed,
    List(Arc<Vec<u8>>),
    ListFailed,
    Target(TargetName, Box<TargetAnswer>),
}

impl Fleet {
    /// Delivers what is on its way. Returns whether there was anything.
    pub fn round(&mut self) -> bool {
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
                self.feed(to, events);
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

    pub(super) fn carry_out(&mut self, number: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, frame } => self.send(number, to, &frame),
                Action::Link { address } => self.link(number, address),
                Action::Unlink { peer } => {
                    if let Some(other) = self.of_incarnation(peer) {
                        self.unlink(number, other);
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
                // Requests are measured apart from the fleet.
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
        let weight = websocket_bytes(bytes.len());
        counters.peer_bytes_out += weight;
        let Some(to) = self.of_incarnation(to) else {
            return;
        };
        if self.links.is_open(from, to) {
            self.daemons[to].counters.peer_bytes_in += weight;
            let from = self.daemons[from].hello.incarnation;
            self.queue.push(Queued {
                to,
                delivery: Delivery::Frame { from, bytes },
            });
        }
    }

    fn link(&mut self, from: usize, address: SocketAddr) {
        let other = self.at_address(address).filter(|to| {
            *to != from && self.daemons[*to].alive && self.reach_each_other(from, *to)
        });
        let Some(to) = other else {
            self.queue.push(Queued {
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
            let weight = greeting_bytes(&hello);
            self.daemons[one].counters.peer_bytes_in += weight;
            let counters = &mut self.daemons[other].counters;
            counters.peer_bytes_out += weight;
            counters.links_opened += 1;
            self.queue.push(Queued {
                to: one,
                delivery: Delivery::PeerUp(hello),
            });
        }
    }

    pub(super) fn unlink(&mut self, a: usize, b: usize) {
        if !self.links.close(a, b) {
            return;
        }
        for (one, other) in [(a, b), (b, a)] {
            let hello = &self.daemons[other].hello;
            let delivery = Delivery::PeerDown(hello.peer_address, Some(hello.incarnation));
            self.queue.push(Queued { to: one, delivery });
        }
    }

    fn reach_each_other(&self, a: usize, b: usize) -> bool {
        !self.regions_apart || self.daemons[a].region == self.daemons[b].region
    }

    fn read_records(&mut self, number: usize, after: Revision, wait_ms: u64) {
        self.daemons[number].counters.record_reads += 1;
        if !self.platform.admits(self.now) {
            self.refuse(number, Delivery::RecordsFailed);
            return;
        }
        if self.daemons[number].reads_platform && wait_ms > 0 && after >= self.newest() {
            let expires = self.now + wait_ms;
            self.daemons[number].watch = Some(Watch { after, expires });
            return;
        }
        self.answer_page(number, after);
    }

    fn read_list(&mut self, number: usize) {
        self.daemons[number].counters.list_reads += 1;
        if !self.platform.admits(self.now) {
            self.refuse(number, Delivery::ListFailed);
            return;
        }
        let delivery = if self.daemons[number].reads_platform {
            let list = self.platform.list();
            self.daemons[number].counters.platform_bytes_in += list.len() as u64;
            Delivery::List(list)
        } else {
            Delivery::ListFailed
        };
        self.queue.push(Queued {
            to: number,
            delivery,
        });
    }

    fn refuse(&mut self, number: usize, delivery: Delivery) {
        self.daemons[number].counters.refused_reads += 1;
        self.queue.push(Queued {
            to: number,
            delivery,
        });
    }

    fn call(&mut self, number: usize, target: TargetName, call: &TargetCall) {
        let counters = &mut self.daemons[number].counters;
        counters.target_calls += 1;
        let Some(answer) = answer(&target, call, self.streams_per_target) else {
            return;
        };
        counters.target_bytes_out += answer.bytes_out;
        counters.target_bytes_in += answer.bytes_in;
        self.queue.push(Queued {
            to: number,
            delivery: Delivery::Target(target, Box::new(answer)),
        });
    }
}

impl Delivery {
    /// The event that it makes at the receiver, decoded by the codec of its interface.
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
            Self::Page(json) => {
                let page = serde_json::from_slice(&json).expect("the page was written here");
                Event::Platform(PlatformEvent::Records(page))
            }
            Self::RecordsFailed => Event::Platform(PlatformEvent::RecordsFailed),
            Self::List(json) => {
                let list = serde_json::from_slice(&json).expect("the list was written here");
                Event::Platform(PlatformEvent::Instances(list))
            }
            Self::ListFailed => Event::Platform(PlatformEvent::InstancesFailed),
            Self::Target(target, answer) => {
                let event = match &answer.json {
                    Some(json) => TargetEvent::Report(
                        serde_json::from_slice(json).expect("the report was written here"),
                    ),
                    None => answer.event,
                };
                Event::Target { target, event }
            }
        }
    }
}

/// Bytes of a websocket message: its head, a mask on average every other way, and the frame.
fn websocket_bytes(frame: usize) -> u64 {
    let head = match frame {
        0..=125 => 2,
        126..=65_535 => 4,
        _ => 10,
    };
    frame as u64 + head + MASK_BYTES / 2
}

fn greeting_bytes(hello: &Hello) -> u64 {
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

//! Other daemons: links, heartbeats, news and records.

use {
    super::Core,
    crate::{action::Action, decisions::Part, time::MonoMs},
    std::{collections::BTreeSet, net::SocketAddr},
    whinlatch_wire::{
        ids::Incarnation,
        peer::{Hello, News, PeerFrame},
    },
};

impl Core {
    pub(super) fn on_peer_up(&mut self, now: MonoMs, hello: &Hello) {
        self.members.linked(now, hello);
        self.links
            .opened(now, hello.incarnation, hello.peer_address);
        let text = format!("link to {} is open", hello.instance);
        self.decide(now, Part::Peers, None, text);
        self.beat(now);
    }

    pub(super) fn on_peer_down(&mut self, _address: SocketAddr, peer: Option<Incarnation>) {
        self.links.closed(peer);
        if let Some(peer) = peer {
            self.members.unlinked(peer);
            self.pulls.closed(peer);
        }
    }

    pub(super) fn on_peer_frame(&mut self, now: MonoMs, from: Incarnation, frame: &PeerFrame) {
        self.members.heard(now, from);
        if !frame.records.is_empty() {
            self.on_peer_records(now, from, &frame.records);
        }
        if let Some(heartbeat) = &frame.heartbeat {
            self.links.holds(from, &heartbeat.records);
            self.compare_records(now, from, &heartbeat.records);
        }
        if let Some(pull) = &frame.pull {
            self.answer_pull(from, pull);
        }
        if let Some(listing) = &frame.listing {
            self.on_listing(now, from, listing);
        }
        if frame.pull_done {
            self.on_pull_done(now, from);
        }
        self.take_news(now, from, &frame.news);
    }

    fn take_news(&mut self, now: MonoMs, from: Incarnation, news: &News) {
        let mut fresh = News::default();
        for member in &news.members {
            if member.incarnation != self.options.incarnation && self.members.merge(now, member) {
                fresh.members.push(member.clone());
            }
        }
        for target in &news.targets {
            if self
                .targets
                .worsen(&target.target, target.incarnation, target.health)
            {
                fresh.targets.push(target.clone());
            }
        }
        for poison in &news.poison {
            if self.poison.merge(now, poison) {
                fresh.poison.push(poison.clone());
            }
        }
        self.links.spread(&fresh, Some(from));
    }

    pub(super) fn beat(&mut self, now: MonoMs) {
        let summary = self.records.summary();
        for (to, frame) in self.links.beats(now, &summary) {
            self.send(to, frame);
        }
    }

    pub(super) fn open_links(&mut self, now: MonoMs) {
        let own = self.options.peer_address;
        let mut wanted: BTreeSet<SocketAddr> = self.options.seed_peers.iter().copied().collect();
        if let Some(list) = &self.list {
            wanted.extend(list.daemons.iter().map(|daemon| daemon.peer_address));
        }
        wanted.remove(&own);
        for address in self.links.to_open(now, own, &wanted) {
            self.act(Action::Link { address });
        }
    }
}

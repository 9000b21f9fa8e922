//! Links to other daemons, their heartbeats and news.

use {
    super::Core,
    crate::{decisions::Subsystem, fleet::MergeResult, time::MonoMs},
    std::net::SocketAddr,
    whinlatch_wire::{
        ids::Incarnation,
        peer::{Hello, MemberNews, MemberStamp, News, PeerFrame},
    },
};

impl Core {
    pub(super) fn on_peer_up(&mut self, now: MonoMs, hello: &Hello) {
        let peer = hello.incarnation;
        let superseded = self.members.on_link_opened(now, hello);
        self.links.on_opened(now, peer, hello.peer_address);
        self.pulls.on_link_closed(peer);
        let text = format!("link to {} is open", hello.instance);
        self.record_decision(now, Subsystem::Peers, None, text);
        self.broadcast_members(superseded);
        self.introduce_peer(peer);
        self.send_heartbeats(now);
    }

    /// Sends a newly linked peer the news of all daemons, and all other peers the news of it.
    fn introduce_peer(&mut self, peer: Incarnation) {
        let others = self.members.iter().map(|member| &member.news);
        let known: Vec<MemberNews> = others.chain([self.members.own()]).cloned().collect();
        let (peer_news, members): (Vec<_>, Vec<_>) = known
            .iter()
            .cloned()
            .partition(|news| news.incarnation == peer);
        self.links.enqueue(peer, &member_news(members));
        // The peer also receives the news about itself: if it is suspected, it can refute that.
        self.links.enqueue(peer, &member_news(peer_news.clone()));
        self.links.broadcast(&member_news(peer_news), Some(peer));
    }

    pub(super) fn on_peer_down(&mut self, _address: SocketAddr, peer: Option<Incarnation>) {
        self.links.on_closed(peer);
        if let Some(peer) = peer {
            self.members.on_link_closed(peer, false);
            self.pulls.on_link_closed(peer);
        }
    }

    pub(super) fn on_peer_frame(&mut self, now: MonoMs, from: Incarnation, frame: &PeerFrame) {
        self.members.on_frame(now, from);
        self.links.on_frame(now, from);
        if !frame.records.is_empty() {
            self.on_peer_records(now, from, &frame.records);
        }
        if let Some(heartbeat) = &frame.heartbeat {
            self.links.set_summary(from, &heartbeat.records);
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
        if !frame.alive.is_empty() {
            self.on_stamps(now, from, &frame.alive);
        }
        self.apply_news(now, from, &frame.news);
    }

    fn on_stamps(&mut self, now: MonoMs, from: Incarnation, stamps: &[MemberStamp]) {
        let lacking = self.members.apply_stamps(now, stamps);
        self.links.enqueue(from, &member_news(lacking));
    }

    fn apply_news(&mut self, now: MonoMs, from: Incarnation, news: &News) {
        let mut fresh = News::default();
        for member in &news.members {
            match self.members.merge(now, member) {
                MergeResult::Unchanged => {}
                MergeResult::Changed => fresh.members.push(member.clone()),
                MergeResult::Refuted => self.broadcast_members(vec![self.members.own().clone()]),
                MergeResult::Superseded => {
                    let text = "superseded by another run of this instance".to_owned();
                    self.record_decision(now, Subsystem::Fleet, None, text);
                    self.on_stop(now);
                }
            }
        }
        for target in &news.targets {
            if self
                .targets
                .worsen_health(&target.target, target.incarnation, target.health)
            {
                fresh.targets.push(target.clone());
            }
        }
        for poison in &news.poison {
            if self.poison.merge(now, poison) {
                fresh.poison.push(poison.clone());
            }
        }
        fresh.loads = self.apply_peer_loads(now, &news.loads);
        self.links.broadcast(&fresh, Some(from));
    }

    fn broadcast_members(&mut self, members: Vec<MemberNews>) {
        self.links.broadcast(&member_news(members), None);
    }

    /// Updates the states of members by their silence, and sends what changed to all peers.
    fn update_member_states(&mut self, now: MonoMs) {
        let mut changed = self.members.tick(now);
        for news in &changed {
            let text = format!("{} is considered {:?}", news.instance, news.state);
            self.record_decision(now, Subsystem::Fleet, None, text);
        }
        if self.leaving_since.is_some() {
            changed.extend(self.members.start_leaving());
        }
        self.broadcast_members(changed);
    }

    pub(super) fn send_heartbeats(&mut self, now: MonoMs) {
        self.detect_pause(now);
        self.update_member_states(now);
        let summary = self.records.summary();
        let stamps_to = self.links.next_stamps_recipient(now);
        if let Some(to) = stamps_to {
            let alive = self.members.stamps(now);
            self.send(
                to,
                PeerFrame {
                    alive,
                    ..PeerFrame::default()
                },
            );
        }
        for (to, frame) in self.links.due_frames(now, &summary) {
            self.send(to, frame);
        }
    }
}

fn member_news(members: Vec<MemberNews>) -> News {
    News {
        members,
        ..News::default()
    }
}

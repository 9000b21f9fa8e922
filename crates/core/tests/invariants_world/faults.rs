//! Faults of processes: deaths, and pauses that end late.

use {
    super::{DAEMONS, Message, World},
    crate::requests_fixture::hello,
    whinlatch_core::{AttemptEvent, Event, MonoMs},
    whinlatch_wire::ids::Incarnation,
};

impl World {
    pub fn kill_target(&mut self, which: usize) {
        self.last_id += 1;
        let run = Incarnation(self.last_id << 32);
        let at = which % self.targets.len();
        let target = self.targets.values_mut().nth(at).expect("a target");
        for (owner, attempt) in target.restart(run) {
            self.reply(owner, attempt, AttemptEvent::Broken { chunks: 0 });
        }
    }

    pub fn kill_daemon(&mut self, index: usize) {
        let dead = self.daemons[index].incarnation;
        for entry in self.requests.values_mut().filter(|a| a.daemon == dead) {
            entry.ended = true;
        }
        for other in (0..DAEMONS).filter(|other| *other != index) {
            let address = hello(dead).peer_address;
            let peer = Some(dead);
            self.handle_event(other, Event::PeerDown { address, peer });
        }
        self.daemons[index] = self.new_daemon();
        self.start(index);
    }

    /// Pauses a daemon after a tick, before it carries out the actions.
    pub fn pause(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        if !daemon.paused {
            daemon.pending_actions = daemon.core.handle(MonoMs(self.now), Event::Tick);
            daemon.paused = true;
        }
    }

    /// Pauses a daemon after it handled the answer of a target, before it carries out the actions. If none
    /// is in transit to it, or it is paused already, pauses the daemon of index `which`.
    pub fn pause_during_reply(&mut self, index: usize, which: usize) {
        let daemon = &mut self.daemons[index];
        let own = daemon.incarnation;
        let mut replies = self.in_transit.iter().enumerate();
        let reply = replies.find(|(_, m)| matches!(m, Message::Reply(owner, ..) if *owner == own));
        let at = reply.map(|(at, _)| at);
        if daemon.paused || at.is_none() {
            return self.pause(which % DAEMONS);
        }
        if let Message::Reply(_, attempt, event) = self.in_transit.swap_remove(at.unwrap_or(0)) {
            let event = Event::Attempt { attempt, event };
            daemon.pending_actions = daemon.core.handle(MonoMs(self.now), event);
            daemon.paused = true;
        }
    }

    /// Resumes a paused daemon: it carries out the actions from before the pause, then handles the events
    /// that arrived during it.
    pub fn resume(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        if !daemon.paused {
            return;
        }
        daemon.paused = false;
        let (pending_actions, inbox) = (
            std::mem::take(&mut daemon.pending_actions),
            std::mem::take(&mut daemon.inbox),
        );
        self.execute(index, pending_actions);
        for event in inbox {
            self.handle_event(index, event);
        }
    }
}

//! Reads that must hold every change accepted before them, and how far this process has to catch up
//! before it is ready.

use clock::Millis;
use events::{Subject, kinds};
use tokio::sync::oneshot;

use super::Core;
use crate::message::Message;

impl Core {
    /// Gives the entry up to which a state holds every accepted change, if this instance surely
    /// leads. What is committed in a batch of inputs is applied only at its end, so that this may lie
    /// ahead of the state.
    pub(super) fn confirmed_index(&self, now: Millis) -> Option<u64> {
        let node = self.replica.node();
        node.holds_lease(now).then(|| node.commit())
    }

    pub(super) fn on_read(&mut self, now: Millis, tx: oneshot::Sender<bool>) {
        match self.leader() {
            Some(leader) if leader == *self.shared.id() => match self.confirmed_index(now) {
                Some(index) => self.reads.wait_for(index, tx),
                None => {
                    // The caller may have gone.
                    let _ = tx.send(false);
                }
            },
            Some(leader) => {
                let token = self.reads.request_index(now, tx);
                self.send(&leader, Message::ReadIndexRequest { token });
            }
            None => {
                let _ = tx.send(false);
            }
        }
    }

    /// Asks the leader how far the log is committed. Only an answer to this process's own question
    /// tells that; a heartbeat may be late, or come from a leader that does not know yet.
    pub(super) fn request_barrier(&mut self, now: Millis) {
        match self.leader() {
            Some(leader) if leader == *self.shared.id() => {
                let index = self.confirmed_index(now);
                self.reads.set_barrier_index(index);
            }
            Some(leader) => {
                let token = self.reads.request_barrier();
                self.send(&leader, Message::ReadIndexRequest { token });
            }
            None => {}
        }
    }

    pub(super) fn become_ready(&mut self) {
        self.role.ready(self.cell.applied);
        if !self.shared.is_ready() {
            let text = format!("caught up at entry {}", self.cell.applied);
            self.shared.journal.note(&kinds::CAUGHT_UP, Subject::default(), text);
            self.shared.set_ready();
        }
    }
}

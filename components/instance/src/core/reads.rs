//! Linearizable reads, and the log index up to which this process has to catch up before it is ready.

use clock::Millis;
use events::{Subject, kinds};
use tokio::sync::oneshot;

use super::Core;
use crate::message::Message;

impl Core {
    /// Returns the index up to which a state holds every accepted change, if this instance certainly
    /// leads. Entries committed during a batch of inputs are applied only at its end, so the index may
    /// be ahead of the state.
    pub(super) fn confirmed_index(&self, now: Millis) -> Option<u64> {
        let node = self.replica.node();
        node.holds_lease(now).then(|| node.commit())
    }

    pub(super) fn on_read(&mut self, now: Millis, tx: oneshot::Sender<bool>) {
        match self.leader() {
            Some(leader) if leader == *self.shared.id() => match self.confirmed_index(now) {
                Some(index) => self.reads.wait_for(index, tx),
                None => {
                    // The caller may have disconnected.
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

    /// Requests the commit index from the leader. Only a reply to this process's own request is
    /// reliable; a heartbeat may be delayed, or come from a leader that does not know the index yet.
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
            self.shared.journal.record(&kinds::CAUGHT_UP, Subject::default(), text);
            self.shared.set_ready();
        }
    }
}

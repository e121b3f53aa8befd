//! Releases the epoch and then leadership before a planned stop, so that no other instance has to
//! wait for either to expire.

use clock::Millis;
use tokio::sync::oneshot;

use super::Core;

impl Core {
    pub(super) fn on_handover(&mut self, now: Millis, tx: oneshot::Sender<()>) {
        if let Some(release) = self.role.release() {
            self.request_change(now, release);
        }
        self.handover_waiter = Some(tx);
    }

    /// Hands over leadership once the release of the epoch is applied.
    pub(super) fn finish_handover(&mut self) {
        let Some(tx) = self.handover_waiter.take() else { return };
        let now = self.now();
        let grant = self.cell.zones.grant(self.shared.zone());
        let holds = grant.is_some_and(|g| g.holder.as_ref() == Some(self.shared.id()));
        if holds && self.leader().is_some() && !tx.is_closed() {
            self.handover_waiter = Some(tx);
            return;
        }
        self.replica.transfer_leadership(now);
        if let Ok(flushed) = self.replica.flush() {
            self.send_envelopes(flushed.messages);
        }
        // The waiting task may have timed out.
        let _ = tx.send(());
    }
}

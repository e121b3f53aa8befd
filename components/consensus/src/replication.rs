//! The leader's work: copying the log and committing.

use std::collections::BTreeSet;

use clock::Millis;
use model::{Incarnation, InstanceId};

use crate::progress::Progress;
use crate::{Body, Entry, Node, Notice, Payload, Role};

/// The most bytes of entries in one append: as many as in a piece of a snapshot. A follower that is short of
/// its processor takes longer for more than until it is sent again.
const MAX_APPEND: usize = 256 << 10;
/// How many heartbeats a lost append may take before it is sent again.
const RESEND_HEARTBEATS: u64 = 3;

impl Node {
    /// Everyone the leader copies the log to.
    pub(crate) fn followers(&self) -> BTreeSet<InstanceId> {
        let membership = self.membership();
        let members = membership.voters.keys().chain(membership.learners.keys());
        let mut all: BTreeSet<InstanceId> = members.cloned().collect();
        all.extend(self.cfg.observers.iter().cloned());
        all.remove(&self.cfg.id);
        all
    }

    /// A leader's tick: heartbeats, resends, check-quorum and the care of its members.
    pub(crate) fn lead(&mut self) {
        let acked = self.quorum_acked_at(self.now).unwrap_or(self.leads_since);
        if self.now.since(acked) > self.cfg.timing.election_max {
            self.resign("no quorum answers");
            return;
        }
        if !self.membership().voters.contains_key(&self.cfg.id) && self.commit >= self.members_at()
        {
            self.resign("no longer a voter");
            return;
        }
        self.copy_to_all();
        self.maintain_membership();
    }

    pub(crate) fn members_at(&self) -> u64 {
        self.log.membership().0
    }

    /// Gives the newest time at which a quorum is known to have followed this leader.
    pub(crate) fn quorum_acked_at(&self, now: Millis) -> Option<Millis> {
        let membership = self.membership();
        let mut times: Vec<Millis> = Vec::new();
        for (id, incarnation) in &membership.voters {
            if *id == self.cfg.id {
                times.push(now);
            } else if let Some(p) = self.progress.get(id)
                && p.incarnation == Some(*incarnation)
            {
                times.extend(p.acked_at);
            }
        }
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(membership.quorum() - 1).copied()
    }

    pub(crate) fn copy_to_all(&mut self) {
        for id in self.followers() {
            self.copy_to(&id);
        }
    }

    /// Sends `id` what it lacks, unless an earlier send is still under way, or a heartbeat if due.
    fn copy_to(&mut self, id: &InstanceId) {
        let heartbeat = self.cfg.timing.heartbeat;
        let fresh = Progress::new(self.log.last_index() + 1);
        let (now, last) = (self.now, self.log.last_index());
        let p = self.progress.entry(id.clone()).or_insert(fresh);
        let due = p.beat_at.is_none_or(|t| now.since(t) >= heartbeat);
        let overdue = Millis(heartbeat.0 * RESEND_HEARTBEATS);
        let busy = p.pending_since.is_some_and(|t| now.since(t) < overdue);
        let lacks = p.next <= last || p.snapshot.is_some();
        let lacks_more = p.pending_last > 0 && p.pending_last < last && p.snapshot.is_none();
        if lacks && !busy {
            p.pending_since = Some(now);
            p.beat_at = Some(now);
            self.send_next(id);
            return;
        }
        if due {
            p.beat_at = Some(now);
        }
        // Whoever syncs for long has the newest entries at hand for its next sync.
        let sent_more = lacks_more && self.send_more(id);
        if due && !sent_more {
            self.send_heartbeat(id);
        }
    }

    fn send_next(&mut self, id: &InstanceId) {
        let Some(p) = self.progress.get_mut(id) else { return };
        p.pending_last = 0;
        if p.next <= self.log.start() || p.snapshot.is_some() {
            self.send_chunk(id);
            return;
        }
        let prev = p.next - 1;
        let entries = self.log.entries_from(p.next, MAX_APPEND);
        p.pending_last = entries.last().map_or(0, |e| e.index);
        self.send_append(id, prev, entries);
    }

    /// Sends what has come since the append under way, if one more brings a follower up to date: one that is far behind gets
    /// one append at a time. Tells whether it did.
    fn send_more(&mut self, id: &InstanceId) -> bool {
        let last = self.log.last_index();
        let Some(p) = self.progress.get_mut(id) else { return false };
        let prev = p.pending_last;
        let entries = self.log.entries_from(prev + 1, MAX_APPEND);
        if entries.last().is_none_or(|e| e.index < last) {
            return false;
        }
        p.pending_last = last;
        self.send_append(id, prev, entries);
        true
    }

    fn send_heartbeat(&mut self, id: &InstanceId) {
        let Some(p) = self.progress.get(id) else { return };
        // A heartbeat rests on an entry that the leader still has.
        let prev = (p.next - 1).max(self.log.start());
        self.send_append(id, prev, Vec::new());
    }

    fn send_append(&mut self, id: &InstanceId, prev_index: u64, entries: Vec<Entry>) {
        let Some(prev_term) = self.log.term_at(prev_index) else { return };
        let (term, commit, sent_at) = (self.hard.term, self.commit, self.now);
        let body = Body::Append { term, prev_index, prev_term, entries, commit, sent_at };
        self.send(id, body);
    }

    pub(crate) fn on_append(
        &mut self,
        from: &InstanceId,
        (prev_index, prev_term): (u64, u64),
        entries: Vec<Entry>,
        commit: u64,
        sent_at: Millis,
    ) {
        if self.role == Role::Leader {
            return;
        }
        self.follow(from);
        let term = self.hard.term;
        if !self.extends_log(prev_index, prev_term) {
            let index = self.log.last_index().min(prev_index.saturating_sub(1));
            self.send(from, Body::AppendReply { term, matched: false, index, sent_at });
            return;
        }
        if !is_gapless(prev_index, &entries) {
            return;
        }
        let last = prev_index + entries.len() as u64;
        for entry in entries {
            self.take_entry(entry);
        }
        if self.role == Role::Uninitialized && self.log.last_index() > 0 {
            self.role = Role::Follower;
        }
        self.commit_to(commit.min(last));
        self.send(from, Body::AppendReply { term, matched: true, index: last, sent_at });
    }

    /// An entry at or below the commit matches by definition, wherever the log begins.
    fn extends_log(&self, prev_index: u64, prev_term: u64) -> bool {
        prev_index < self.log.base().last_index || self.log.term_at(prev_index) == Some(prev_term)
    }

    fn take_entry(&mut self, entry: Entry) {
        let known = entry.index <= self.log.base().last_index
            || self.log.term_at(entry.index) == Some(entry.term);
        if known {
            return;
        }
        debug_assert!(entry.index > self.commit, "a committed entry never changes");
        if let Payload::Membership(m) = &entry.payload {
            self.out.notices.push(Notice::MembershipChanged(m.clone()));
        }
        self.push_entry(entry);
    }

    /// Notes a sign of life from a follower; gives false if this member does not follow us.
    pub(crate) fn heard_from(&mut self, from: &InstanceId, incarnation: Incarnation) -> bool {
        let now = self.now;
        match self.progress.get_mut(from) {
            Some(p) => {
                p.heard(now, incarnation);
                true
            }
            None => false,
        }
    }

    /// Notes that a follower has answered what was sent at a time, and gives what is known of it; nothing if this
    /// member does not lead it.
    pub(crate) fn acked_by(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        sent_at: Millis,
    ) -> Option<&mut Progress> {
        if self.role != Role::Leader || !self.heard_from(from, incarnation) {
            return None;
        }
        let p = self.progress.get_mut(from)?;
        p.acked_at = p.acked_at.max(Some(sent_at));
        Some(p)
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        matched: bool,
        index: u64,
        sent_at: Millis,
    ) {
        let last = self.log.last_index();
        let Some(p) = self.acked_by(from, incarnation, sent_at) else { return };
        p.note_answer(sent_at, matched, index);
        if matched && index <= last {
            p.matched = p.matched.max(index);
            p.next = p.next.max(p.matched + 1);
            if p.snapshot.is_some_and(|(snap, _)| p.matched >= snap) {
                p.snapshot = None;
            }
        } else if index < p.next {
            // A late refusal must not send the leader back behind what is known to match.
            p.next = (index + 1).max(p.matched + 1);
        }
        let is_answered = p.pending_since.is_none();
        self.advance_commit();
        // One that is overdue is sent again by the next tick: after a slow sync of our own its answer may be the next
        // one to be taken in.
        if is_answered {
            self.copy_to(from);
        }
    }

    /// Commits what a quorum of voters has on disk, by an entry of the leader's own term.
    pub(crate) fn advance_commit(&mut self) {
        let membership = self.membership();
        let mut matched: Vec<u64> = Vec::new();
        for (id, incarnation) in &membership.voters {
            if *id == self.cfg.id {
                matched.push(self.synced());
            } else if let Some(p) = self.progress.get(id) {
                let same_disk = p.incarnation == Some(*incarnation);
                matched.push(if same_disk { p.matched } else { 0 });
            }
        }
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = matched.get(membership.quorum() - 1) else { return };
        if index > self.commit && self.log.term_at(index) == Some(self.hard.term) {
            self.commit_to(index);
        }
    }

    pub(crate) fn furthest_voter(&self) -> Option<InstanceId> {
        let voters = &self.membership().voters;
        let mut best: Option<(u64, &InstanceId)> = None;
        for (id, p) in &self.progress {
            let counts = p.incarnation.is_some() && voters.get(id) == p.incarnation.as_ref();
            if counts && best.is_none_or(|(matched, _)| p.matched > matched) {
                best = Some((p.matched, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }
}

fn is_gapless(prev_index: u64, entries: &[Entry]) -> bool {
    entries.iter().zip(prev_index + 1..).all(|(entry, index)| entry.index == index)
}

//! Log replication by the leader, the followers' side of it, and commits.

use std::collections::BTreeSet;

use clock::Millis;
use model::{Incarnation, InstanceId};

use crate::progress::Progress;
use crate::{Body, Entry, Node, Notice, Payload, Role};

/// The maximum bytes of entries in one append, the same as in a snapshot chunk. A follower that is short of processor
/// time takes longer to process a larger one than the interval after which it is resent.
const MAX_APPEND_BYTES: usize = 256 << 10;
/// The number of heartbeat intervals after which an unanswered append is resent. With fewer, slow followers receive
/// the same entries repeatedly; with more, a lost append delays commits.
const RESEND_HEARTBEATS: u64 = 3;

impl Node {
    /// Returns all instances that the leader replicates the log to: the other members and the observers.
    pub(crate) fn followers(&self) -> BTreeSet<InstanceId> {
        let membership = self.membership();
        let members = membership.voters.keys().chain(membership.learners.keys());
        let mut all: BTreeSet<InstanceId> = members.cloned().collect();
        all.extend(self.cfg.observers.iter().cloned());
        all.remove(&self.cfg.id);
        all
    }

    /// Performs the periodic actions of a leader: quorum check, heartbeats, resends and membership maintenance.
    pub(crate) fn tick_leader(&mut self) {
        let acked = self.quorum_acked_at(self.now).unwrap_or(self.leads_since);
        if self.now.since(acked) > self.cfg.timing.election_max {
            self.resign("no quorum answers");
            return;
        }
        if !self.membership().voters.contains_key(&self.cfg.id)
            && self.commit >= self.membership_index()
        {
            self.resign("no longer a voter");
            return;
        }
        self.replicate_to_all();
        self.maintain_membership();
    }

    /// Returns the index of the latest membership entry.
    pub(crate) fn membership_index(&self) -> u64 {
        self.log.membership().0
    }

    /// Returns the latest time at which a quorum is known to have followed this leader.
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

    pub(crate) fn replicate_to_all(&mut self) {
        for id in self.followers() {
            self.replicate_to(&id);
        }
    }

    /// Returns whether an instance is a learner in the reserve, whose copy of the log no commit waits for.
    fn is_in_reserve(&self, id: &InstanceId) -> bool {
        self.membership().learners.get(id).is_some_and(|l| !l.promote)
    }

    /// Sends `id` the entries that it lacks, unless an earlier append is in flight, or a heartbeat if one is due.
    ///
    /// A member of the reserve gets entries only when a heartbeat is due, since a cell may have many of them and no
    /// commit waits for their copies.
    fn replicate_to(&mut self, id: &InstanceId) {
        let heartbeat = self.cfg.timing.heartbeat;
        let in_reserve = self.is_in_reserve(id);
        let initial = Progress::new(self.log.last_index() + 1);
        let (now, last) = (self.now, self.log.last_index());
        let p = self.progress.entry(id.clone()).or_insert(initial);
        let due = p.heartbeat_sent_at.is_none_or(|t| now.since(t) >= heartbeat);
        let overdue = Millis(heartbeat.0 * RESEND_HEARTBEATS);
        let busy = p.pending_since.is_some_and(|t| now.since(t) < overdue);
        let lacks = p.next <= last || p.snapshot.is_some();
        let may_wait = in_reserve && !due && p.snapshot.is_none();
        let lacks_more = p.pending_last > 0 && p.pending_last < last && p.snapshot.is_none();
        if lacks && !busy && !may_wait {
            p.pending_since = Some(now);
            p.heartbeat_sent_at = Some(now);
            self.send_next(id);
            return;
        }
        if due {
            p.heartbeat_sent_at = Some(now);
        }
        // A follower with a slow sync then has the newest entries available for its next one.
        let sent_more = lacks_more && !may_wait && self.send_more(id);
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
        let entries = self.log.entries_from(p.next, MAX_APPEND_BYTES);
        p.pending_last = entries.last().map_or(0, |e| e.index);
        self.send_append(id, prev, entries);
    }

    /// Sends the entries after the append in flight, if one more append brings the follower up to date; a follower that
    /// is far behind gets one append at a time. Returns whether it was sent.
    fn send_more(&mut self, id: &InstanceId) -> bool {
        let last = self.log.last_index();
        let Some(p) = self.progress.get_mut(id) else { return false };
        let prev = p.pending_last;
        let entries = self.log.entries_from(prev + 1, MAX_APPEND_BYTES);
        if entries.last().is_none_or(|e| e.index < last) {
            return false;
        }
        p.pending_last = last;
        self.send_append(id, prev, entries);
        true
    }

    fn send_heartbeat(&mut self, id: &InstanceId) {
        let Some(p) = self.progress.get(id) else { return };
        // The previous entry of a heartbeat must be one that the leader still has.
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
            self.append_received(entry);
        }
        if self.role == Role::Uninitialized && self.log.last_index() > 0 {
            self.role = Role::Follower;
        }
        self.commit_to(commit.min(last));
        self.send(from, Body::AppendReply { term, matched: true, index: last, sent_at });
    }

    /// Returns whether the log contains the given entry. Entries before the snapshot are committed and always match.
    fn extends_log(&self, prev_index: u64, prev_term: u64) -> bool {
        prev_index < self.log.last_snapshot().last_index
            || self.log.term_at(prev_index) == Some(prev_term)
    }

    /// Appends an entry received from the leader, unless the log contains it already.
    fn append_received(&mut self, entry: Entry) {
        let known = entry.index <= self.log.last_snapshot().last_index
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

    /// Records contact with a follower. Returns false if the instance does not follow this leader.
    pub(crate) fn record_contact(&mut self, from: &InstanceId, incarnation: Incarnation) -> bool {
        let now = self.now;
        match self.progress.get_mut(from) {
            Some(p) => {
                p.record_contact(now, incarnation);
                true
            }
            None => false,
        }
    }

    /// Records that a follower has acknowledged a message sent at `sent_at`, and returns its progress. Returns `None` if
    /// this member is not the leader or the instance does not follow it.
    pub(crate) fn record_ack(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        sent_at: Millis,
    ) -> Option<&mut Progress> {
        if self.role != Role::Leader || !self.record_contact(from, incarnation) {
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
        let Some(p) = self.record_ack(from, incarnation, sent_at) else { return };
        p.record_reply(sent_at, matched, index);
        if matched && index <= last {
            p.matched = p.matched.max(index);
            p.next = p.next.max(p.matched + 1);
            if p.snapshot.is_some_and(|(snap, _)| p.matched >= snap) {
                p.snapshot = None;
            }
        } else if index < p.next {
            // A delayed refusal must not move the next index back before the last known match.
            p.next = (index + 1).max(p.matched + 1);
        }
        let is_answered = p.pending_since.is_none();
        self.advance_commit();
        // An overdue append is resent only by the next tick: after a slow sync of this leader, its reply may be the next
        // message to be processed.
        if is_answered {
            self.replicate_to(from);
        }
    }

    /// Commits the entries that a quorum of voters has on disk, up to an entry of the current term. Entries of earlier
    /// terms are committed only together with one of the current term, since a later leader could still replace them.
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

    /// Returns the other voter whose log is known to match the furthest.
    pub(crate) fn most_advanced_voter(&self) -> Option<InstanceId> {
        let voters = &self.membership().voters;
        let mut best: Option<(u64, &InstanceId)> = None;
        for (id, p) in &self.progress {
            let is_current_voter =
                p.incarnation.is_some() && voters.get(id) == p.incarnation.as_ref();
            if is_current_voter && best.is_none_or(|(matched, _)| p.matched > matched) {
                best = Some((p.matched, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }
}

fn is_gapless(prev_index: u64, entries: &[Entry]) -> bool {
    entries.iter().zip(prev_index + 1..).all(|(entry, index)| entry.index == index)
}

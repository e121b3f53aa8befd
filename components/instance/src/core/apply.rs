//! Applies committed entries to the cell state, the zone role and the active configuration.

use cell::{Cell, Command, Proposal, Reply};
use consensus::{Committed, Flushed, Notice, Payload, Role};
use errors::Result;
use events::{Subject, kinds};

use super::Core;
use crate::active_config::ActiveConfig;
use crate::message::Outcome;
use crate::pending_changes::Requester;
use crate::zone_supervisor::ZoneSupervisor;

impl Core {
    pub(super) fn process_flushed(&mut self, flushed: Flushed) -> Result<()> {
        for notice in flushed.notices {
            self.on_notice(notice);
        }
        self.send_envelopes(flushed.messages);
        for committed in flushed.committed {
            match committed {
                Committed::Snapshot(snapshot) => {
                    self.cell = Cell::decode(&snapshot.data)?;
                    self.cell.skip(snapshot.last_index);
                    let text = format!("up to entry {}", snapshot.last_index);
                    let journal = &self.shared.journal;
                    journal.record(&kinds::SNAPSHOT_INSTALLED, Subject::default(), text);
                    let now = self.now();
                    self.role.reload(now, &self.cell);
                }
                Committed::Entry(entry) => match &entry.payload {
                    Payload::Command(data) => self.apply(entry.index, entry.term, data),
                    Payload::Noop | Payload::Membership(_) => self.cell.skip(entry.index),
                },
            }
        }
        self.activate_config()
    }

    fn apply(&mut self, index: u64, term: u64, data: &[u8]) {
        let now = self.now();
        let requester = self.proposed_changes.take(index, term).unwrap_or(Requester::Nobody);
        let Ok(proposal) = postcard::from_bytes::<Proposal>(data) else {
            // Every instance skips an entry that cannot be decoded, so that their states stay equal.
            self.cell.skip(index);
            let reason = "the command cannot be read".into();
            return self.answer(requester, Outcome::Invalid { reason });
        };
        let active = self.active_jobs_of(&proposal.command);
        let reply = self.cell.apply(index, &proposal);
        if matches!(reply, Reply::Accepted { version } if version == index) {
            self.log_applied(&proposal.command, index, &active);
            self.role.applied(now, &self.cell, &proposal.command);
            if matches!(proposal.command, Command::GrantEpoch { .. } | Command::ReleaseEpoch { .. })
            {
                self.role.follow_grant(now, &self.cell);
                self.timers.leader_request = now;
            }
        }
        self.answer(requester, Outcome::Applied(reply));
    }

    /// Returns the active jobs whose tasks a command ends, to detect afterwards which jobs it ended.
    fn active_jobs_of(&self, command: &Command) -> Vec<model::JobName> {
        let Command::EndTasks { ended, .. } = command else { return Vec::new() };
        let active =
            |name: &model::JobName| self.cell.jobs.get(name).is_some_and(|j| j.is_active());
        let mut names: Vec<model::JobName> =
            ended.iter().map(|e| e.task.job.clone()).filter(active).collect();
        names.dedup();
        names
    }

    /// Logs the effect of an accepted command. Effects that all instances see are logged by the leader only.
    fn log_applied(&self, command: &Command, index: u64, were_active: &[model::JobName]) {
        let journal = &self.shared.journal;
        if let Command::GrantEpoch { zone, holder, .. } = command
            && holder == self.shared.id()
        {
            let text = format!("zone {zone} epoch {index}");
            journal.record(&kinds::EPOCH_GRANTED, Subject::default(), text);
        }
        if self.replica.node().role() != Role::Leader {
            return;
        }
        match command {
            Command::CreateJob { spec, .. } => {
                let text = format!("{} tasks for organisation {}", spec.tasks, spec.organisation);
                journal.record(&kinds::JOB_CREATED, Subject::job(&spec.name), text);
            }
            Command::CancelJob { name } => {
                journal.record(&kinds::JOB_CANCELLED, Subject::job(name), "by its operator");
            }
            Command::EndTasks { .. } => {
                for name in were_active {
                    if self.cell.jobs.get(name).is_some_and(|j| !j.is_active()) {
                        journal.record(&kinds::JOB_ENDED, Subject::job(name), "all tasks ended");
                    }
                }
            }
            Command::Drain { target, on } => {
                let text = format!("{target} {}", if *on { "out of use" } else { "in use" });
                journal.record(&kinds::DRAIN_CHANGED, Subject::default(), text);
            }
            Command::DrainZone { zone, on } => {
                let text = format!("zone {zone} {}", if *on { "out of use" } else { "in use" });
                journal.record(&kinds::DRAIN_CHANGED, Subject::default(), text);
            }
            Command::MoveShare { job, from, to, .. } => {
                let text = format!("from zone {from} to zone {to}");
                journal.record(&kinds::SHARE_MOVED, Subject::job(job), text);
            }
            Command::ReleaseEpoch { zone, epoch } => {
                let text = format!("zone {zone} epoch {epoch}");
                journal.record(&kinds::EPOCH_RELEASED, Subject::default(), text);
            }
            _ => {}
        }
    }

    /// Activates a newer configuration or a changed set of drained names or zones. It is saved before it is used.
    fn activate_config(&mut self) -> Result<()> {
        let newer = self.cell.config.version > self.active_config.config.version;
        let behind = self.cell.config.version < self.active_config.config.version;
        let same_drains = self.cell.drained == self.active_config.drained
            && self.cell.drained_zones == self.active_config.drained_zones;
        if behind || (!newer && same_drains) {
            return Ok(());
        }
        let active_config = ActiveConfig {
            config: self.cell.config.clone(),
            drained: self.cell.drained.clone(),
            drained_zones: self.cell.drained_zones.clone(),
        };
        if let Some(path) = &self.active_config_file {
            active_config.save(path)?;
        }
        self.active_config = active_config;
        self.shared.put_drained(self.cell.drained.clone());
        self.shared.set_zone_drained(self.cell.drained_zones.contains(self.shared.zone()));
        if newer {
            let version = self.cell.config.version;
            self.shared.put_config(self.cell.config.clone());
            let text = format!("version {version}");
            self.shared.journal.record(&kinds::CONFIG_APPLIED, Subject::default(), text);
        }
        Ok(())
    }

    fn on_notice(&mut self, notice: Notice) {
        let journal = &self.shared.journal;
        match notice {
            Notice::Bootstrapped => {
                journal.record(
                    &kinds::CELL_FOUNDED,
                    Subject::default(),
                    "the cell is bootstrapped",
                );
            }
            Notice::BecameLeader { term } => {
                journal.record(&kinds::LEADER_ELECTED, Subject::default(), format!("term {term}"));
                self.zone_supervisor = ZoneSupervisor::new(self.replica.node().leads_since());
            }
            Notice::Resigned { term, reason } => {
                let text = format!("term {term}: {reason}");
                journal.record(&kinds::LEADER_RESIGNED, Subject::default(), text);
                for requester in self.proposed_changes.take_all() {
                    self.answer(requester, Outcome::Unknown);
                }
            }
            Notice::MembershipChanged(m) => {
                let voters: Vec<&str> = m.voters.keys().map(|v| v.as_str()).collect();
                let learners: Vec<&str> = m.learners.keys().map(|v| v.as_str()).collect();
                let text = format!("voters {voters:?}, learners {learners:?}");
                journal.record(&kinds::MEMBERS_CHANGED, Subject::default(), text);
            }
        }
    }
}

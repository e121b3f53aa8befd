//! Events that the core writes to the journal.

use events::{Subject, kinds};
use zone::{AllocatorEvent, Authority};

use super::Core;
use crate::shared::lock;

impl Core {
    pub(super) fn log_authority_change(&self, change: Option<Authority>) {
        let zone = self.shared.zone();
        let journal = &self.shared.journal;
        match change {
            Some(Authority::Full) => {
                let text = format!("zone {zone}");
                journal.record(&kinds::ZONE_LEASE_HELD, Subject::default(), text);
            }
            Some(Authority::ZoneOnly) => {
                let text = format!("zone {zone}: its other instances commit not to allocate");
                journal.record(&kinds::ZONE_LEASE_LOST, Subject::default(), text);
            }
            Some(Authority::RenewOnly) => {
                let text = format!("zone {zone}: nothing new is started");
                journal.record(&kinds::ZONE_LEASE_LOST, Subject::default(), text);
            }
            None => {}
        }
    }

    pub(super) fn log_allocator_event(&self, event: AllocatorEvent) {
        let journal = &self.shared.journal;
        match event {
            AllocatorEvent::WorkerReported { worker, adopted } => {
                let text = format!("{worker} reported, {adopted} of its tasks were adopted");
                journal.record(&kinds::WORKER_REPORTED, Subject::default(), text);
            }
            AllocatorEvent::WorkerLost { worker } => {
                let text = format!("{worker} is lost");
                journal.record(&kinds::WORKER_LOST, Subject::default(), text);
            }
            AllocatorEvent::WorkerQuarantined { worker } => {
                let text = format!("{worker} fails tasks of several jobs");
                journal.record(&kinds::WORKER_ASIDE, Subject::default(), text);
            }
            AllocatorEvent::TaskStarted { task, worker, waited, class } => {
                let name = match class {
                    model::Class::Urgent => "task_wait_urgent",
                    model::Class::Normal => "task_wait_normal",
                    model::Class::Bulk => "task_wait_bulk",
                };
                lock(&self.shared.timings).record(name, waited);
                let text = format!("given to {worker} after {waited}");
                journal.record(&kinds::TASK_STARTED, Subject::task(&task), text);
            }
            AllocatorEvent::TaskEnded { task, worker, how } => {
                let text = format!("on {worker}: {how}");
                journal.record(&kinds::TASK_ENDED, Subject::task(&task), text);
            }
            AllocatorEvent::TaskEvicted { task } => {
                journal.record(&kinds::TASK_EVICTED, Subject::task(&task), "to free capacity");
            }
            AllocatorEvent::JobUnschedulable { job, reason } => {
                journal.record(&kinds::JOB_HOPELESS, Subject::job(&job), reason.to_string());
            }
            AllocatorEvent::DuplicateTask { task, worker } => {
                let text = format!("also on {worker}");
                journal.record(&kinds::TASK_TWICE, Subject::task(&task), text);
            }
            AllocatorEvent::EpochOutdated { newer } => {
                let text = format!("epoch {newer} is known");
                journal.record(&kinds::EPOCH_OUTDATED, Subject::default(), text);
            }
        }
    }
}

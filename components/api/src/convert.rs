//! Conversions between the generated messages and the model.

use clock::Millis;
use errors::{Finding, Findings, Place};
use model::{Class, JobKind, JobSpec, Size, Spread};

use crate::pb;

/// Returns a size as a message.
pub fn amount(size: &Size) -> pb::Amount {
    pb::Amount {
        cpu_milli: size.cpu_milli,
        memory_mb: size.memory_mb,
        accelerators: size.accelerators,
    }
}

/// Returns a job as a message.
pub fn job_message(spec: &JobSpec) -> pb::Job {
    pb::Job {
        name: spec.name.as_str().into(),
        organisation: spec.organisation.as_ref().into(),
        kind: match spec.kind {
            JobKind::Service => pb::Kind::Service,
            JobKind::Batch => pb::Kind::Batch,
            JobKind::Gang => pb::Kind::Gang,
        },
        tasks: spec.tasks,
        size: amount(&spec.size),
        run_time_ms: spec.run_time.0,
        work_class: match spec.class {
            Class::Urgent => pb::WorkClass::ClassUrgent,
            Class::Normal => pb::WorkClass::ClassNormal,
            Class::Bulk => pb::WorkClass::ClassBulk,
        },
        deadline_ms: spec.deadline.0,
        spread: match spec.spread {
            Spread::None => pb::SpreadOver::SpreadNone,
            Spread::Rack => pb::SpreadOver::SpreadRack,
            Spread::Zone => pb::SpreadOver::SpreadZone,
        },
        may_move: spec.may_move,
        repeatable: spec.repeatable,
    }
}

/// Returns the job of a message after checking it, because the message is untrusted.
///
/// # Errors
/// Returns every fault with its field.
pub fn job_spec(job: &pb::Job) -> Result<JobSpec, Findings> {
    let spec = JobSpec {
        name: job.name.as_str().into(),
        organisation: job.organisation.as_str().into(),
        kind: match job.kind {
            pb::Kind::Service => JobKind::Service,
            pb::Kind::Batch => JobKind::Batch,
            pb::Kind::Gang => JobKind::Gang,
        },
        tasks: job.tasks,
        size: Size::new(job.size.cpu_milli, job.size.memory_mb, job.size.accelerators),
        run_time: Millis(job.run_time_ms),
        class: match job.work_class {
            pb::WorkClass::ClassUrgent => Class::Urgent,
            pb::WorkClass::ClassNormal => Class::Normal,
            pb::WorkClass::ClassBulk => Class::Bulk,
        },
        deadline: Millis(job.deadline_ms),
        spread: match job.spread {
            pb::SpreadOver::SpreadNone => Spread::None,
            pb::SpreadOver::SpreadRack => Spread::Rack,
            pb::SpreadOver::SpreadZone => Spread::Zone,
        },
        may_move: job.may_move,
        repeatable: job.repeatable,
    };
    let mut findings = Findings::default();
    for (field, message) in spec.faults() {
        findings.push(Finding::new(Place::Field(format!("job.{field}").into()), message));
    }
    findings.into_result(spec)
}

/// Returns an event as a message.
pub fn event_view(event: &events::Event) -> pb::EventView {
    pb::EventView {
        order: event.order,
        wall_ms: event.wall.0,
        instance: event.instance.as_ref().into(),
        number: event.kind.number,
        name: event.kind.name.into(),
        text: event.text.clone().into(),
        job: event.subject.job.clone().into(),
        task: event.subject.task.clone().into(),
        request: event.subject.request.clone().into(),
    }
}

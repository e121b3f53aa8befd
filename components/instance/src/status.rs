//! The status of an instance, as reported to operators.

use api::convert::amount;
use api::pb;
use consensus::Role;
use metrics::Figure;
use routing::TargetState;
use zone::WorkerPhase;

use crate::core::Core;
use crate::figures::figures;
use crate::shared::lock;

/// Returns the status of this instance.
pub(crate) fn status(core: &Core) -> pb::StatusReply {
    let node = core.replica.node();
    let shared = &core.shared;
    let grant = core.cell.zones.grant(shared.zone());
    pb::StatusReply {
        instance: shared.id().as_str().into(),
        zone: shared.zone().as_str().into(),
        role: role_name(core).into(),
        leader: node.leader().map_or_else(Default::default, |l| l.as_str().into()),
        term: node.term(),
        applied: core.cell.applied,
        config_version: shared.config().version,
        epoch: grant.map_or(0, |g| g.epoch.0),
        holds_epoch: core.role.allocator().is_some(),
        figures: figures(core).into_iter().map(figure_message).collect(),
        upstreams: upstreams(core),
        members: members(core),
        ready: shared.is_ready(),
    }
}

fn role_name(core: &Core) -> &'static str {
    let node = core.replica.node();
    let id = core.shared.id();
    match node.role() {
        Role::Leader => "leader",
        Role::Uninitialized => "unformed",
        _ if node.membership().voters.contains_key(id) => "voter",
        _ if node.membership().learners.contains_key(id) => "learner",
        _ => "observer",
    }
}

fn members(core: &Core) -> Vec<ntex::util::ByteString> {
    let m = core.replica.node().membership();
    let voters = m.voters.keys().map(|id| format!("{id} voter"));
    let learners = m.learners.keys().map(|id| format!("{id} learner"));
    voters.chain(learners).map(Into::into).collect()
}

fn figure_message(figure: Figure) -> pb::Figure {
    pb::Figure { name: figure.name.into(), value: figure.value, unit: figure.unit.into() }
}

fn upstreams(core: &Core) -> Vec<pb::UpstreamView> {
    let now = core.now();
    let request_plane = lock(&core.shared.request_plane);
    let zone = core.shared.zone().as_str();
    let mut views = Vec::new();
    for (target, share) in request_plane.router().targets(now) {
        let state = match target.state {
            TargetState::Live => "live",
            TargetState::Leaving => "leaving",
        };
        let mut view = pb::UpstreamView {
            name: target.name.as_ref().into(),
            zone: zone.into(),
            state: state.into(),
            in_flight: target.in_flight,
            share,
            ..pb::UpstreamView::default()
        };
        let allocator = core.role.allocator();
        let known = allocator.and_then(|a| a.workers().find(|w| *w.0 == target.name));
        if let Some((_, phase, total, taken)) = known {
            view.capacity = amount(&total);
            view.reserved = amount(&taken);
            view.state = format!("{state}, {}", phase_name(phase)).into();
        }
        views.push(view);
    }
    views
}

fn phase_name(phase: WorkerPhase) -> &'static str {
    match phase {
        WorkerPhase::Unknown => "not reported",
        WorkerPhase::Open => "open",
        WorkerPhase::Draining => "draining",
        WorkerPhase::Quarantined => "set aside",
        WorkerPhase::Silent => "silent",
    }
}

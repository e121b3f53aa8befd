//! Calling for advice on behalf of the leader.

use model::InstanceId;
use workload::{StepKey, WorkerId};

use crate::message::Message;
use crate::ports::Ports;

/// A call that the leader asked this instance to make.
pub(crate) struct AdviceCall {
    /// Whom the answer goes to.
    pub(crate) leader: InstanceId,
    /// The number that the answer bears.
    pub(crate) id: u64,
    pub(crate) step: StepKey,
    pub(crate) workers: Vec<WorkerId>,
}

/// Makes a call and hands its answer on, with whom it goes to. A call without an answer is told, too,
/// so that the leader can ask another instance.
pub(crate) fn spawn_advice(
    ports: &Ports,
    call: AdviceCall,
    hand_on: impl FnOnce(InstanceId, Message) + 'static,
) {
    let asked = ports.advice.request(call.step, call.workers);
    ntex::rt::spawn(async move {
        let advice = asked.await;
        let valid = advice.as_ref().and_then(|a| a.valid);
        let message = Message::Advised { id: call.id, valid, allowed: advice.map(|a| a.allowed) };
        hand_on(call.leader, message);
    });
}

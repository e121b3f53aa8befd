//! Calls to the advice service on behalf of the leader.

use model::InstanceId;
use workload::{StepKey, WorkerId};

use crate::message::Message;
use crate::ports::Ports;

/// An advice call that the leader asked this instance to make.
pub(crate) struct AdviceCall {
    /// The leader, which gets the response.
    pub(crate) leader: InstanceId,
    /// The id of the leader's request.
    pub(crate) id: u64,
    pub(crate) step: StepKey,
    pub(crate) workers: Vec<WorkerId>,
}

/// Makes a call in the background and passes the response to `on_response` with its receiver. A call without
/// an answer is reported as well, so that the leader can ask another instance.
pub(crate) fn spawn_advice_call(
    ports: &Ports,
    call: AdviceCall,
    on_response: impl FnOnce(InstanceId, Message) + 'static,
) {
    let response = ports.advice.request(call.step, call.workers);
    ntex::rt::spawn(async move {
        let advice = response.await;
        let valid = advice.as_ref().and_then(|a| a.valid);
        let message = Message::Advised { id: call.id, valid, allowed: advice.map(|a| a.allowed) };
        on_response(call.leader, message);
    });
}

//! The events that a control instance handles.

use clock::Millis;
use dispatch::Input;
use errors::Result;
use model::InstanceId;
use transport::Packet;

use crate::log_thread::LogEvent;
use crate::message::Message;
use crate::node_handle::InboundEvent;

/// An event that a control instance handles.
pub(crate) enum ControlEvent {
    Packet(Result<Packet<Message>>),
    Inbound(InboundEvent),
    Log(LogEvent),
    /// The result of a call that this instance made as the leader of `term`.
    Called {
        term: u64,
        called_at: Millis,
        input: Input,
    },
    Advised {
        to: InstanceId,
        message: Message,
    },
}

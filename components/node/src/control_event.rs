//! What a control instance waits for.

use dispatch::Input;
use errors::Result;
use model::InstanceId;
use transport::Packet;

use crate::log_thread::LogEvent;
use crate::message::Message;
use crate::node_handle::Arrival;

/// Everything that a control instance waits for.
pub(crate) enum ControlEvent {
    Packet(Result<Packet<Message>>),
    Arrival(Arrival),
    Log(LogEvent),
    /// What came of a call that the leader of a term made.
    Called {
        term: u64,
        input: Input,
    },
    Advised {
        to: InstanceId,
        message: Message,
    },
}

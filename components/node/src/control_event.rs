//! What a control instance waits for.

use dispatch::Input;
use errors::Result;
use model::InstanceId;
use transport::Packet;

use crate::gate::Arrival;
use crate::log_thread::LogEvent;
use crate::message::Message;

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

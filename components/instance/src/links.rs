//! The links to the other instances, and the refusal of links for tests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::Sender;

use errors::Result;
use events::{Subject, kinds};
use model::InstanceId;
use ntex::time::{Millis as Wait, sleep};
use transport::{Links, LinksConfig, Packet};

use crate::core::{Core, Input};
use crate::message::Message;
use crate::shared::Shared;

/// The interval at which the test file of refused links is read.
const REFUSED_POLL_INTERVAL: Wait = Wait(100);

/// Opens the links to all instances of the settings.
///
/// # Errors
/// Returns an error if the links cannot be opened.
pub(crate) fn open_links(shared: &Arc<Shared>, core: &Sender<Input>) -> Result<Links> {
    let settings = &shared.settings;
    let others = settings.peers.values().filter(|p| p.id != settings.own.id);
    let peers: BTreeMap<InstanceId, SocketAddr> = others.map(|p| (p.id.clone(), p.addr)).collect();
    let cfg = LinksConfig { id: settings.own.id.clone(), listen: settings.own.addr, peers };
    let (core, shared) = (core.clone(), shared.clone());
    Links::open::<Message>(
        &cfg,
        Box::new(move |packet: Result<Packet<Message>>| match packet {
            Ok(packet) => {
                // The core may have stopped.
                let _ = core.send(Input::Packet(packet));
            }
            Err(e) => {
                let text = e.to_string();
                shared.journal.record(&kinds::MESSAGE_UNREADABLE, Subject::default(), text);
            }
        }),
    )
}

/// Refuses the links to the instances named in a file, for tests of network partitions.
pub(crate) async fn watch_refused(path: PathBuf, shared: Arc<Shared>, core: Sender<Input>) {
    let mut before: BTreeSet<InstanceId> = BTreeSet::new();
    loop {
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        let names = text.lines().map(str::trim).filter(|l| !l.is_empty());
        let refused: BTreeSet<InstanceId> = names.map(InstanceId::from).collect();
        if refused != before {
            let text = format!("{refused:?}");
            shared.journal.record(&kinds::LINK_REFUSED, Subject::default(), text);
            before = refused.clone();
            let query = move |core: &Core| core.refuse_links(refused);
            if core.send(Input::Query(Box::new(query))).is_err() {
                return;
            }
        }
        sleep(REFUSED_POLL_INTERVAL).await;
    }
}

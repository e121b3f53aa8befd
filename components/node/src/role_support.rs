//! Helpers that both roles share: links, events, settings, stopping and log lines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use clock::Millis;
use errors::Result;
use events::{kinds, log_decision};
use model::InstanceId;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use transport::{Links, LinksConfig, Packet};

use crate::message::Message;
use crate::node_handle::NodeHandle;
use crate::peers::Peers;
use crate::settings::NodeSettings;

/// Forwards everything from one channel into the channel of events, until either is closed.
pub(crate) async fn forward_events<T, E>(
    mut rx: UnboundedReceiver<T>,
    tx: UnboundedSender<E>,
    wrap: impl Fn(T) -> E,
) {
    while let Some(value) = rx.recv().await {
        if tx.send(wrap(value)).is_err() {
            return;
        }
    }
}

/// Opens the links without any peers. [`sync_links`] connects peers as they become known.
pub(crate) fn open_links(
    settings: &NodeSettings,
    on_packet: impl Fn(Result<Packet<Message>>) + Send + 'static,
) -> Result<Arc<Links>> {
    let cfg = LinksConfig { id: settings.id(), listen: settings.bind, peers: BTreeMap::new() };
    Ok(Arc::new(Links::open(&cfg, Box::new(on_packet))?))
}

/// Connects every known peer, reopens silent links, and closes the links of peers that are gone.
pub(crate) fn sync_links(links: &Links, peers: &mut Peers, now: Millis) {
    let (silent, gone) = peers.maintain(now);
    for id in &gone {
        links.disconnect(id);
    }
    for id in peers.ids() {
        let Ok(addr) = id.as_str().parse::<SocketAddr>() else { continue };
        if let Err(e) = links.connect(id, addr) {
            log_decision(&kinds::LINK_FAILED, id.as_str(), &format!("fault={:?}", e.to_string()));
        }
    }
    for id in &silent {
        if let Err(e) = links.reconnect(id) {
            log_decision(&kinds::LINK_FAILED, id.as_str(), &format!("fault={:?}", e.to_string()));
        }
    }
}

pub(crate) fn log_unreadable(e: &errors::Error) {
    log_decision(&kinds::MESSAGE_UNREADABLE, "-", &format!("fault={:?}", e.to_string()));
}

pub(crate) fn log_leader(leader: &InstanceId, term: u64) {
    log_decision(&kinds::LEADER_KNOWN, leader.as_str(), &format!("term={term}"));
}

pub(crate) fn log_reload(settings: &NodeSettings) {
    let seeds: Vec<&str> = settings.seeds.iter().map(|s| s.as_str()).collect();
    log_decision(&kinds::SETTINGS_READ, &settings.name, &format!("seeds={}", seeds.join(",")));
}

/// Logs that the process is stopping, and reports it as not ready so that the balancer sends callers elsewhere.
pub(crate) fn begin_stop(settings: &NodeSettings, handle: &NodeHandle) {
    let grace = settings.grace.0;
    log_decision(&kinds::NODE_STOPPING, &settings.name, &format!("grace_ms={grace}"));
    handle.set_stopping();
}

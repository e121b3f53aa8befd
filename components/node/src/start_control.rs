//! Starting a control instance: its log, its links, and what waits for events.

use std::sync::Arc;

use clock::{Clock, Millis, SystemClock};
use errors::Result;
use events::{kinds, log_decision};
use metrics::Registry;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::sleep;
use workload::PolicyReader;

use crate::control::{Control, tell_disk_unusable};
use crate::control_event::ControlEvent;
use crate::leaving_workers::LeavingAcknowledgements;
use crate::log_store::{self, OpenedLog};
use crate::log_thread::{self, DISK_RETRY};
use crate::node_handle::NodeHandle;
use crate::peers::{Peers, PeersConfig};
use crate::pending_calls::Waiters;
use crate::ports::Ports;
use crate::recent_announcements::RecentAnnouncements;
use crate::relay::Relay;
use crate::role_support::{open_links, pass_on};
use crate::settings::NodeSettings;
use crate::stall_detection::StallDetector;

/// Runs a control instance until it is told to stop. `serve` opens the listeners on the gate.
///
/// # Errors
/// If the instance cannot start, or if its disk fails while it runs.
pub async fn run_control<F, S>(
    settings: NodeSettings,
    ports: Ports,
    reader: Arc<dyn PolicyReader>,
    serve: F,
    reload: Box<dyn Fn() -> Option<NodeSettings>>,
) -> Result<()>
where
    F: FnOnce(NodeHandle) -> Result<S>,
{
    let clock = Arc::new(SystemClock::default());
    let (tx, rx) = unbounded_channel::<ControlEvent>();
    let opening_at = clock.now();
    let opened = open_log(&settings, &clock).await?;
    tell_opened(&settings, &opened, clock.now().since(opening_at));
    let disk = opened.disk;
    let links = open_links(&settings, {
        let tx = tx.clone();
        // The process ends soon if nobody listens.
        move |packet| drop(tx.send(ControlEvent::Packet(packet)))
    })?;
    let (log_tx, log_rx) = unbounded_channel();
    let log = log_thread::spawn(opened, settings.clone(), clock.clone(), links.clone(), log_tx)?;
    let metrics = Arc::new(Registry::default());
    let (handle, arrivals_rx) = NodeHandle::open(metrics.clone())?;
    let cfg = PeersConfig { id: settings.id(), disk: Some(disk), calls_advice: true };
    let control = Control {
        peers: Peers::new(cfg, settings.seeds.clone(), clock.now()),
        relay: Relay::new(u64::from(rand::random::<u32>())),
        waiters: Waiters::new(metrics.clone()),
        metrics,
        away: StallDetector::new(clock.now(), clock.suspended()),
        clock,
        links,
        log,
        ports,
        reader,
        handle: handle.clone(),
        events: tx.clone(),
        leading: None,
        news: RecentAnnouncements::default(),
        leaving_waits: LeavingAcknowledgements::default(),
        voters: Vec::new(),
        stops_at: None,
        tick_at: Millis::ZERO,
        measure_at: Millis::ZERO,
        read_at: Millis::ZERO,
        failed: None,
        reload,
        settings,
    };
    let _server = serve(handle)?;
    ntex::rt::spawn(pass_on(arrivals_rx, tx.clone(), ControlEvent::Arrival));
    ntex::rt::spawn(pass_on(log_rx, tx, ControlEvent::Log));
    control.run(rx).await
}

/// Opens the log; waits while the disk has no room or the process no descriptor. A process that ended for
/// that would only be started again, with the same outcome.
async fn open_log(settings: &NodeSettings, clock: &SystemClock) -> Result<OpenedLog> {
    let mut told = false;
    loop {
        match log_store::open(settings, clock) {
            Err(e) if log_store::may_pass(&e) => {
                if !std::mem::replace(&mut told, true) {
                    tell_disk_unusable(settings, &e);
                }
                sleep(DISK_RETRY.duration()).await;
            }
            opened => return opened,
        }
    }
}

fn tell_opened(settings: &NodeSettings, opened: &OpenedLog, took: Millis) {
    let (entries, snapshot_bytes) = (opened.entries, opened.snapshot_bytes);
    let details = format!("entries={entries} snapshot_bytes={snapshot_bytes} took_ms={}", took.0);
    log_decision(&kinds::LOG_OPENED, &settings.name, &details);
    if opened.cut > 0 {
        log_decision(&kinds::TAIL_CUT, &settings.name, &format!("bytes={}", opened.cut));
    }
}

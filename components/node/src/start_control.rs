//! Starts a control instance: its log, its links and its event loop.

use std::sync::Arc;

use clock::{Clock, Millis, SystemClock};
use errors::Result;
use events::{kinds, log_decision};
use metrics::Registry;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::sleep;
use workload::PolicyReader;

use crate::arrivals::Arrivals;
use crate::control::{ControlInstance, log_disk_unusable};
use crate::control_event::ControlEvent;
use crate::leaving_workers::LeavingAcknowledgements;
use crate::log_store::{self, OpenedLog};
use crate::log_thread::{self, DISK_RETRY_INTERVAL};
use crate::node_handle::NodeHandle;
use crate::peers::{Peers, PeersConfig};
use crate::pending_calls::PendingCalls;
use crate::ports::Ports;
use crate::recent_announcements::RecentAnnouncements;
use crate::relay::Relay;
use crate::role_support::{forward_events, open_links};
use crate::settings::NodeSettings;
use crate::stall_detection::StallDetector;

/// Runs a control instance until it is asked to stop. `serve` opens the listeners, which submit calls
/// through the handle; `reload` returns the settings if they have changed.
///
/// # Errors
/// Fails if the instance cannot start, or if its disk fails permanently while it runs.
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
    log_opened(&settings, &opened, clock.now().since(opening_at));
    let disk = opened.disk;
    let links = open_links(&settings, {
        let tx = tx.clone();
        // The send fails only if the process is about to exit.
        move |packet| drop(tx.send(ControlEvent::Packet(packet)))
    })?;
    let (log_tx, log_rx) = unbounded_channel();
    let log = log_thread::spawn(opened, settings.clone(), clock.clone(), links.clone(), log_tx)?;
    let metrics = Arc::new(Registry::default());
    let (handle, inbound_rx) = NodeHandle::open(metrics.clone())?;
    let cfg = PeersConfig { id: settings.id(), disk: Some(disk), calls_advice: true };
    let control = ControlInstance {
        peers: Peers::new(cfg, settings.seeds.clone(), clock.now()),
        relay: Relay::new(u64::from(rand::random::<u32>())),
        pending_calls: PendingCalls::new(metrics.clone()),
        metrics,
        stall_detector: StallDetector::new(clock.now(), clock.suspended()),
        arrivals: Arrivals::new(clock.now()),
        clock,
        links,
        log,
        ports,
        reader,
        handle: handle.clone(),
        events: tx.clone(),
        leader_term: None,
        recent_announcements: RecentAnnouncements::default(),
        leaving_acknowledgements: LeavingAcknowledgements::default(),
        voters: Vec::new(),
        stop_at: None,
        next_tick_at: Millis::ZERO,
        next_load_report_at: Millis::ZERO,
        renewal_holders: Vec::new(),
        next_delegation_check_at: Millis::ZERO,
        next_settings_read_at: Millis::ZERO,
        failed: None,
        reload,
        settings,
    };
    let _server = serve(handle)?;
    ntex::rt::spawn(forward_events(inbound_rx, tx.clone(), ControlEvent::Inbound));
    ntex::rt::spawn(forward_events(log_rx, tx, ControlEvent::Log));
    control.run(rx).await
}

/// Opens the log. While the disk is full or the process has no file descriptors, it retries: if the process
/// exited, it would only be restarted and fail again.
async fn open_log(settings: &NodeSettings, clock: &SystemClock) -> Result<OpenedLog> {
    let mut logged = false;
    loop {
        match log_store::open(settings, clock) {
            Err(e) if log_store::is_transient(&e) => {
                if !std::mem::replace(&mut logged, true) {
                    log_disk_unusable(settings, &e);
                }
                sleep(DISK_RETRY_INTERVAL.duration()).await;
            }
            opened => return opened,
        }
    }
}

fn log_opened(settings: &NodeSettings, opened: &OpenedLog, took: Millis) {
    let (entries, snapshot_bytes) = (opened.entries, opened.snapshot_bytes);
    let details = format!("entries={entries} snapshot_bytes={snapshot_bytes} took_ms={}", took.0);
    log_decision(&kinds::LOG_OPENED, &settings.name, &details);
    if opened.truncated_bytes > 0 {
        log_decision(
            &kinds::TAIL_CUT,
            &settings.name,
            &format!("bytes={}", opened.truncated_bytes),
        );
    }
}

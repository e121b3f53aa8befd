//! The start of an instance, its main loop, and its planned stop.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::thread;

use errors::{Error, Result, io};
use events::{Subject, kinds};
use ntex::time::{Millis as Wait, sleep};
use settings::Settings;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::{mpsc::unbounded_channel, oneshot};

use crate::core::{Core, Input, Parts, WorkerCall};
use crate::disk::open_disk;
use crate::links::{open_links, watch_refused};
use crate::listeners::{serve_callers, serve_operators};
use crate::shared::{Shared, lock};
use crate::worker_calls::make_calls;

/// The interval at which a failed core or a stop signal is checked for.
const WATCH_INTERVAL: Wait = Wait(200);
/// The maximum time for handing over the epoch and leadership in a planned stop.
const MAX_HANDOVER_WAIT: Wait = Wait(2_000);

/// Runs an instance until it receives a signal to stop.
///
/// # Errors
/// Returns an error if the instance cannot start, or if its disk fails while it runs.
pub fn run(settings: Settings) -> Result<()> {
    let callers = bind(settings.own.callers)?;
    let operators = bind(settings.operators)?;
    let shared = Arc::new(Shared::new(settings));
    let (core_tx, core_rx) = channel::<Input>();
    let (calls_tx, calls_rx) = unbounded_channel::<WorkerCall>();
    let stop = watch_signals()?;
    let disk = open_disk(&shared)?;
    let links = open_links(&shared, &core_tx)?;
    let core = Core::new(Parts {
        replica: disk.replica,
        cell: disk.cell,
        active_config_file: disk.active_config_file,
        links,
        workers: calls_tx,
        shared: shared.clone(),
    })?;
    let failed = Arc::new(AtomicBool::new(false));
    let core_failed = failed.clone();
    let core_thread = spawn("core", move || core.run(&core_rx, &core_failed))?;
    let (platform, to_core) = (shared.settings.platform, core_tx.clone());
    spawn("workers", move || {
        runtime("workers").block_on(make_calls(calls_rx, platform, to_core));
    })?;
    let server_shared = shared.clone();
    let served = runtime("servers").block_on(async move {
        serve(server_shared, core_tx, callers, operators, stop, failed).await
    });
    let ended = core_thread.join();
    shared.journal.record(&kinds::INSTANCE_STOPPED, Subject::default(), "stopped");
    ended.map_err(|_| Error::Refused("the core has failed".into()))?;
    served
}

fn runtime(name: &str) -> ntex::rt::SystemRunner {
    ntex::rt::System::new(name, ntex::rt::DefaultRuntime)
}

fn bind(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).map_err(|e| Error::Unreachable {
        target: addr.to_string(),
        reason: format!("cannot listen there: {e}"),
    })
}

fn spawn(name: &str, f: impl FnOnce() + Send + 'static) -> Result<thread::JoinHandle<()>> {
    let builder = thread::Builder::new().name(name.to_string());
    builder.spawn(f).map_err(|e| Error::Refused(format!("cannot start a thread: {e}")))
}

/// Returns a flag that SIGTERM or SIGINT sets.
fn watch_signals() -> Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .map_err(|e| Error::Refused(format!("cannot register signal handlers: {e}")))?;
    let flag = stop.clone();
    spawn("signals", move || {
        for _ in signals.forever() {
            flag.store(true, Ordering::SeqCst);
        }
    })?;
    Ok(stop)
}

async fn serve(
    shared: Arc<Shared>,
    core: Sender<Input>,
    callers: TcpListener,
    operators: TcpListener,
    stop: Arc<AtomicBool>,
    failed: Arc<AtomicBool>,
) -> Result<()> {
    let fault = |what: &'static str| io(what, std::path::Path::new("socket"));
    let http = serve_callers(shared.clone(), core.clone(), callers).map_err(fault("serve"))?;
    let grpc = serve_operators(shared.clone(), core.clone(), operators).map_err(fault("serve"))?;
    if let Some(path) = shared.settings.test_refuse_file.clone() {
        ntex::rt::spawn(watch_refused(path, shared.clone(), core.clone()));
    }
    let own = &shared.settings.own;
    let text = format!(
        "zone {} callers {} operators {}",
        own.zone, own.callers, shared.settings.operators
    );
    shared.journal.record(&kinds::INSTANCE_STARTED, Subject::default(), text);
    while !stop.load(Ordering::SeqCst) && !failed.load(Ordering::SeqCst) {
        sleep(WATCH_INTERVAL).await;
    }
    if failed.load(Ordering::SeqCst) {
        return Err(Error::Refused("the disk has failed; the process stops".into()));
    }
    stop_gracefully(&shared, &core).await;
    http.stop(true).await;
    grpc.stop(true).await;
    // The core may have failed in the meantime.
    let _ = core.send(Input::Stop);
    Ok(())
}

/// Performs the planned stop: notifies the balancer, hands over the epoch and leadership, then
/// refuses new requests and waits for those in progress.
async fn stop_gracefully(shared: &Arc<Shared>, core: &Sender<Input>) {
    shared.journal.record(&kinds::INSTANCE_STOPPING, Subject::default(), "told to stop");
    shared.set_stopping();
    sleep(Wait(shared.settings.drain_notice.0 as u32)).await;
    let (tx, rx) = oneshot::channel();
    if core.send(Input::Handover { tx }).is_ok() {
        // Without a leader there is no instance to hand over to.
        let _ = ntex::time::timeout(MAX_HANDOVER_WAIT, rx).await;
    }
    shared.set_closed();
    let latest = shared.now() + shared.settings.longest_request;
    while lock(&shared.request_plane).in_progress() > 0 && shared.now() < latest {
        sleep(WATCH_INTERVAL).await;
    }
}

//! A simulated platform worker: it accepts the sync calls of an allocator and runs requests.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use clock::{Clock, Millis, SystemClock, wall_now};
use gumdrop::Options;
use model::Size;
use ntex::time::{Millis as Wait, sleep};
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer, types::State};
use testkit::{RecordKind, Recorder, WorkerConfig, WorkerCore};
use upstream::{MAX_BODY_BYTES, SyncRequest, headers};

/// How long a request runs if it does not say so itself, in milliseconds.
const DEFAULT_WORK_MS: u32 = 5;
/// The longest run time that a request may ask for, in milliseconds.
const MAX_WORK_MS: u32 = 60_000;

#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, required, help = "name of this worker")]
    name: String,
    #[options(no_short, required, help = "address to listen on, ip:port")]
    listen: String,
    #[options(no_short, default = "16000", help = "CPU in thousandths of a core")]
    cpu_milli: u64,
    #[options(no_short, default = "32768", help = "memory in megabytes")]
    memory_mb: u64,
    #[options(no_short, default = "0", help = "number of accelerators")]
    accelerators: u64,
    #[options(no_short, default = "8", help = "maximum number of concurrent requests")]
    slots: u32,
    #[options(
        no_short,
        default = "100",
        help = "actual run time of tasks in percent of the declared one"
    )]
    run_percent: u64,
    #[options(no_short, help = "fail every task")]
    fail_tasks: bool,
    #[options(no_short, help = "file to append records to")]
    records: Option<PathBuf>,
}

struct Worker {
    core: Mutex<WorkerCore>,
    clock: SystemClock,
    slots: u32,
    busy: AtomicU32,
}

impl Worker {
    fn core(&self) -> std::sync::MutexGuard<'_, WorkerCore> {
        self.core.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// A guard that decrements the number of busy slots when a request ends, also if its connection was closed.
struct BusySlot(Arc<Worker>);

impl Drop for BusySlot {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn sync(worker: State<Arc<Worker>>, body: ntex::util::Bytes) -> HttpResponse {
    match serde_json::from_slice::<SyncRequest>(&body) {
        Ok(req) => HttpResponse::Ok().json(&worker.core().sync(worker.clock.now(), &req)),
        Err(e) => HttpResponse::BadRequest().body(e.to_string()),
    }
}

fn header<'a>(req: &'a HttpRequest, name: &str) -> &'a str {
    req.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
}

async fn run(
    worker: State<Arc<Worker>>,
    req: HttpRequest,
    body: ntex::util::Bytes,
) -> HttpResponse {
    let id = header(&req, headers::REQUEST).to_string();
    let key = header(&req, headers::KEY).to_string();
    let load = worker.busy.fetch_add(1, Ordering::SeqCst) + 1;
    let _busy = BusySlot(worker.get_ref().clone());
    let leaving = worker.core().is_leaving();
    if load > worker.slots || leaving {
        let mut refusal = HttpResponse::ServiceUnavailable();
        refusal.header(headers::NOT_RUN, "1").header(headers::REQUEST, id);
        if leaving {
            refusal.header(headers::LEAVING, "1");
        }
        return refusal.finish();
    }
    let caller = header(&req, headers::CALLER).to_string();
    let name = if key.is_empty() { caller } else { format!("key:{key}") };
    worker.core().note(RecordKind::Request, &name, u64::from(load));
    let work = header(&req, headers::WORK_TIME).parse().unwrap_or(DEFAULT_WORK_MS);
    // Tokio's timer has a resolution of one millisecond, ntex's of about 16.
    tokio::time::sleep(Millis(u64::from(work.min(MAX_WORK_MS))).duration()).await;
    worker.core().note(RecordKind::Answer, &name, u64::from(load));
    let mut answer = b"ran:".to_vec();
    answer.extend_from_slice(&body);
    HttpResponse::Ok()
        .header(headers::REQUEST, id)
        .header(headers::BODY_LENGTH, answer.len().to_string())
        .header(headers::LOAD, worker.busy.load(Ordering::SeqCst).to_string())
        .body(answer)
}

async fn leave(worker: State<Arc<Worker>>) -> HttpResponse {
    worker.core().leave();
    HttpResponse::Ok().finish()
}

#[ntex::main]
async fn main() -> std::io::Result<()> {
    let flags = Flags::parse_args_default_or_exit();
    let cfg = WorkerConfig {
        total: Size::new(flags.cpu_milli, flags.memory_mb, flags.accelerators),
        boot: wall_now().0,
        fails_tasks: flags.fail_tasks,
        run_percent: flags.run_percent,
        usage_lag: Millis(2_000),
    };
    let recorder = Recorder::open(&flags.name, flags.records.as_deref())
        .map_err(|e| std::io::Error::other(e.to_string()))?;
    let worker = Arc::new(Worker {
        core: Mutex::new(WorkerCore::new(cfg, recorder)),
        clock: SystemClock::default(),
        slots: flags.slots,
        busy: AtomicU32::new(0),
    });
    let ticking = worker.clone();
    ntex::rt::spawn(async move {
        loop {
            sleep(Wait(10)).await;
            ticking.core().tick(ticking.clock.now());
        }
    });
    HttpServer::new(async move || {
        App::new()
            .state(worker.clone())
            .state(web::types::PayloadConfig::new(MAX_BODY_BYTES))
            .service(web::resource("/sync").route(web::post().to(sync)))
            .service(web::resource("/run").route(web::post().to(run)))
            .service(web::resource("/leave").route(web::post().to(leave)))
    })
    .bind(&flags.listen)?
    .workers(1)
    .run()
    .await
}

//! The thread that calls workers and polls the platform for its list of workers.

use std::net::SocketAddr;
use std::sync::mpsc::Sender;

use ntex::client::Client;
use ntex::time::{Millis as Wait, sleep};
use tokio::sync::mpsc::UnboundedReceiver;
use upstream::{HttpWorker, Worker, fetch_worker_list};

use crate::core::{Input, WorkerCall};

/// The interval at which the platform's list is polled.
const LIST_INTERVAL: Wait = Wait(1_000);

/// Makes calls until the core stops.
pub(crate) async fn make_calls(
    mut calls: UnboundedReceiver<WorkerCall>,
    platform: SocketAddr,
    core: Sender<Input>,
) {
    let client = Client::new().await;
    ntex::rt::spawn(poll_list(client.clone(), platform, core.clone()));
    while let Some(call) = calls.recv().await {
        ntex::rt::spawn(make_call(client.clone(), call, core.clone()));
    }
}

async fn make_call(client: Client, call: WorkerCall, core: Sender<Input>) {
    let worker = HttpWorker::new(client, call.addr);
    let waited =
        ntex::time::timeout(Wait(call.timeout.0 as u32), worker.sync(&call.req, call.timeout));
    let reply = waited.await.unwrap_or_else(|()| {
        Err(errors::Error::Unreachable {
            target: call.worker.to_string(),
            reason: "no answer in time".into(),
        })
    });
    let (epoch, worker, seq) = (call.epoch, call.worker, call.req.seq);
    // The core may have stopped.
    let _ = core.send(Input::WorkerReply { epoch, worker, seq, reply });
}

async fn poll_list(client: Client, platform: SocketAddr, core: Sender<Input>) {
    loop {
        // Without a response the last list stays in use; the list lags in any case.
        if let Ok(list) = fetch_worker_list(&client, platform).await
            && core.send(Input::List(list)).is_err()
        {
            return;
        }
        sleep(LIST_INTERVAL).await;
    }
}

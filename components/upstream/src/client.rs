//! The HTTP client for worker calls.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

use clock::Millis;
use errors::{Error, Result};
use ntex::client::Client;
use ntex::time::Millis as Wait;

use crate::{MAX_BODY_BYTES, SyncReply, SyncRequest};

/// The interface of a worker apart from answering requests: a single call that renews the worker's lease, starts,
/// checkpoints and stops tasks, and returns a report.
pub trait Worker {
    /// Makes the call, and waits at most `timeout` for the reply.
    fn sync<'a>(
        &'a self,
        req: &'a SyncRequest,
        timeout: Millis,
    ) -> Pin<Box<dyn Future<Output = Result<SyncReply>> + 'a>>;
}

/// A worker reached over HTTP.
pub struct HttpWorker {
    client: Client,
    addr: SocketAddr,
}

impl HttpWorker {
    /// Creates a client for the worker at `addr`.
    pub fn new(client: Client, addr: SocketAddr) -> HttpWorker {
        HttpWorker { client, addr }
    }

    async fn call(&self, req: &SyncRequest, timeout: Millis) -> Result<SyncReply> {
        let url = format!("http://{}/sync", self.addr);
        let unreachable = |e: String| Error::Unreachable { target: url.clone(), reason: e };
        let call = self.client.post(&url).timeout(Wait(timeout.0 as u32)).send_json(req);
        let response = call.await.map_err(|e| unreachable(e.to_string()))?;
        let body = response.body().limit(MAX_BODY_BYTES).await;
        let body = body.map_err(|e| unreachable(e.to_string()))?;
        serde_json::from_slice(&body)
            .map_err(|e| Error::Decode { what: "a worker's report", reason: e.to_string() })
    }
}

impl Worker for HttpWorker {
    fn sync<'a>(
        &'a self,
        req: &'a SyncRequest,
        timeout: Millis,
    ) -> Pin<Box<dyn Future<Output = Result<SyncReply>> + 'a>> {
        Box::pin(self.call(req, timeout))
    }
}

//! The platform's list of workers, which lags behind their actual state.

use std::net::SocketAddr;

use errors::{Error, Result};
use model::{Name, Size, ZoneId};
use ntex::client::Client;
use ntex::time::Millis as Wait;
use serde::{Deserialize, Serialize};

use crate::MAX_BODY_BYTES;

/// The timeout for fetching the platform's list.
const LIST_TIMEOUT: Wait = Wait(2_000);

/// The state of a worker according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkerState {
    /// The worker is in service.
    Live,
    /// The worker is about to leave.
    Leaving,
}

/// A worker in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedWorker {
    /// The worker's name.
    pub name: Name,
    /// The availability zone that it is in.
    pub zone: ZoneId,
    /// The rack that it is in.
    pub rack: Name,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// The worker's total capacity.
    pub size: Size,
    /// The worker's state.
    pub state: WorkerState,
}

/// The platform's list of all workers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformList {
    /// All listed workers, of every zone.
    pub workers: Vec<ListedWorker>,
}

/// Fetches the platform's list of workers.
///
/// # Errors
/// Returns [`Error::Unreachable`] if the platform does not answer, and [`Error::Decode`] if the response is not a list.
pub async fn fetch_worker_list(client: &Client, addr: SocketAddr) -> Result<PlatformList> {
    let url = format!("http://{addr}/instances");
    let unreachable = |e: String| Error::Unreachable { target: url.clone(), reason: e };
    let sent = client.get(&url).timeout(LIST_TIMEOUT).send().await;
    let response = sent.map_err(|e| unreachable(e.to_string()))?;
    let body =
        response.body().limit(MAX_BODY_BYTES).await.map_err(|e| unreachable(e.to_string()))?;
    serde_json::from_slice(&body)
        .map_err(|e| Error::Decode { what: "the platform's list", reason: e.to_string() })
}

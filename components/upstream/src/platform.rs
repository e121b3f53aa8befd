//! The platform's list of workers. It lags behind what is so.

use std::net::SocketAddr;

use errors::{Error, Result};
use model::{Name, Size, ZoneId};
use ntex::client::Client;
use ntex::time::Millis as Wait;
use serde::{Deserialize, Serialize};

use crate::MAX_BODY_BYTES;

/// How long the platform may take to give its list.
const LIST_TIMEOUT: Wait = Wait(2_000);

/// What the platform says of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkerState {
    /// It is there.
    Live,
    /// It is about to go.
    Leaving,
}

/// One worker as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedWorker {
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: Name,
    /// Where it listens.
    pub addr: SocketAddr,
    /// What it has.
    pub size: Size,
    /// What the platform thinks of it.
    pub state: WorkerState,
}

/// The platform's whole list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformList {
    /// The workers.
    pub workers: Vec<ListedWorker>,
}

/// Asks the platform for its list.
///
/// # Errors
/// [`Error::Unreachable`] if it does not answer, [`Error::Decode`] if the answer is no list.
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

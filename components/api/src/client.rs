//! Reaching an instance as an operator.

use std::net::SocketAddr;

use errors::{Error, Result};
use ntex::SharedCfg;
use ntex_grpc::client::Client;
use ntex_h2::client::ClientBuilder;

use crate::pb::OperatorClient;

/// The calls of an operator to one instance.
pub type Operator = OperatorClient<Client>;

/// Prepares calls to the instance at `addr`; the connection is made with the first call.
///
/// # Errors
/// [`Error::Unreachable`] if no connection can be prepared.
pub async fn connect(addr: SocketAddr) -> Result<Operator> {
    let builder = ClientBuilder::with_default(addr.to_string());
    let client = builder.build(SharedCfg::default()).await;
    let client = client
        .map_err(|e| Error::Unreachable { target: addr.to_string(), reason: e.to_string() })?;
    Ok(OperatorClient::new(Client::new(client)))
}

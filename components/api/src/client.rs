//! The client with which an operator calls an instance.

use std::net::SocketAddr;

use errors::{Error, Result};
use ntex::SharedCfg;
use ntex_grpc::client::Client;
use ntex_h2::client::ClientBuilder;

use crate::pb::OperatorClient;

/// A client for the operator calls of one instance.
pub type Operator = OperatorClient<Client>;

/// Returns a client for the instance at `addr`; the connection is opened by the first call.
///
/// # Errors
/// [`Error::Unreachable`] if the client cannot be created.
pub async fn connect(addr: SocketAddr) -> Result<Operator> {
    let builder = ClientBuilder::with_default(addr.to_string());
    let client = builder.build(SharedCfg::default()).await;
    let client = client
        .map_err(|e| Error::Unreachable { target: addr.to_string(), reason: e.to_string() })?;
    Ok(OperatorClient::new(Client::new(client)))
}

//! Sends a request to an upstream or to another zone, and interprets the response.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use model::{Answer, Name, Refusal};
use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientResponse, Connector};
use ntex::http::StatusCode;
use ntex::time::Millis as Wait;
use ntex::util::Bytes;
use upstream::{MAX_BODY_BYTES, headers};

/// How long an idle connection is kept, in seconds. It is shorter than the idle timeout of upstreams,
/// because otherwise a request may be sent on a connection that the upstream is closing.
const KEEP_ALIVE_SECONDS: u16 = 3;

/// The delay after which a caller should retry when another zone could not be reached either.
const PEER_RETRY_AFTER: Millis = Millis(1_000);

/// A request to send.
#[derive(Clone)]
pub(crate) struct Outgoing {
    /// This instance's id for the request, which the response must repeat.
    pub(crate) id: String,
    /// The caller's key, if the request is not repeatable.
    pub(crate) key: Option<String>,
    /// Additional headers.
    pub(crate) extra: Vec<(&'static str, String)>,
    /// The body.
    pub(crate) body: Bytes,
}

/// The result of a call.
#[derive(Debug)]
pub(crate) enum CallEnd {
    /// The complete response was received.
    Done { body: Vec<u8>, load: Option<u32> },
    /// The request certainly did not run: no byte was sent, or the upstream says so.
    NotRun { leaving: bool, connected: bool },
    /// The request ran and the upstream reported a failure.
    Failed(Name),
    /// The request may have run: the connection broke, the deadline passed, or the response was
    /// incomplete.
    Broken(Name),
    /// The response belongs to another request.
    Crossed,
}

/// A connection pool for each upstream.
#[derive(Clone, Default)]
pub(crate) struct Clients {
    by_name: Rc<RefCell<BTreeMap<Name, Client>>>,
}

impl Clients {
    async fn get(&self, name: &Name, connections: usize) -> Result<Client, CallEnd> {
        if let Some(client) = self.by_name.borrow().get(name) {
            return Ok(client.clone());
        }
        let connector =
            Connector::new().limit(connections).keep_alive(ntex::time::Seconds(KEEP_ALIVE_SECONDS));
        let builder = Client::builder().connector::<()>(connector).disable_redirects();
        match builder.build(SharedCfg::default()).await {
            Ok(client) => {
                self.by_name.borrow_mut().insert(name.clone(), client.clone());
                Ok(client)
            }
            Err(_) => Err(CallEnd::NotRun { leaving: false, connected: false }),
        }
    }

    /// Closes all connections to an upstream that sent the response to another request.
    pub(crate) fn close(&self, name: &Name) {
        self.by_name.borrow_mut().remove(name);
    }

    /// Sends a request and waits at most `timeout` for its complete response.
    pub(crate) async fn call(
        &self,
        name: &Name,
        addr: SocketAddr,
        connections: usize,
        req: &Outgoing,
        timeout: Millis,
    ) -> CallEnd {
        let client = match self.get(name, connections).await {
            Ok(client) => client,
            Err(end) => return end,
        };
        let wait = Wait(timeout.0.max(1) as u32);
        match ntex::time::timeout(wait, exchange(&client, addr, req, wait)).await {
            Ok(end) => end,
            Err(()) => CallEnd::Broken("no answer before the deadline".into()),
        }
    }
}

/// The maximum number of connections to one instance of another zone.
const MAX_PEER_CONNECTIONS: usize = 32;

impl Clients {
    /// Forwards a request to an instance of another zone and returns its answer.
    pub(crate) async fn call_peer(
        &self,
        name: &Name,
        addr: SocketAddr,
        req: &Outgoing,
        timeout: Millis,
    ) -> Answer {
        let refused =
            Answer::Refused { reason: Refusal::NoUpstream, retry_after: PEER_RETRY_AFTER };
        let client = match self.get(name, MAX_PEER_CONNECTIONS).await {
            Ok(client) => client,
            Err(_) => return refused,
        };
        let wait = Wait(timeout.0.max(1) as u32);
        let call = async {
            match send(&client, addr, req, wait).await {
                Ok(response) => read_peer_response(response, &req.id).await,
                Err(e) if never_sent(&e) => refused,
                Err(e) => Answer::MayHaveRun(e.to_string().into()),
            }
        };
        let late = || Answer::MayHaveRun("no answer from another zone in time".into());
        ntex::time::timeout(wait, call).await.unwrap_or_else(|()| late())
    }
}

async fn read_peer_response(response: ClientResponse, id: &str) -> Answer {
    if header_text(&response, headers::REQUEST) != Some(id) {
        return Answer::MayHaveRun("another zone answered a different request".into());
    }
    let outcome = header_text(&response, headers::OUTCOME).unwrap_or_default().to_string();
    let length = header_text(&response, headers::BODY_LENGTH).and_then(|l| l.parse::<usize>().ok());
    let retry_after = header_text(&response, headers::RETRY_AFTER_MS).and_then(|l| l.parse().ok());
    let body = response.body().limit(MAX_BODY_BYTES).await.map(|b| b.to_vec()).unwrap_or_default();
    if length != Some(body.len()) {
        return Answer::MayHaveRun("the answer from another zone is incomplete".into());
    }
    let reason = || Name::from(String::from_utf8_lossy(&body).as_ref());
    match outcome.as_str() {
        "done" => Answer::Done(body),
        "refused" => Answer::Refused {
            reason: Refusal::Overloaded,
            retry_after: retry_after.map_or(PEER_RETRY_AFTER, Millis),
        },
        "failed" => Answer::Failed(reason()),
        _ => Answer::MayHaveRun(reason()),
    }
}

async fn send(
    client: &Client,
    addr: SocketAddr,
    req: &Outgoing,
    wait: Wait,
) -> Result<ClientResponse, ClientError> {
    let mut call = client.post(format!("http://{addr}/run")).timeout(wait);
    call = call.header(headers::REQUEST, req.id.as_str());
    if let Some(key) = &req.key {
        call = call.header(headers::KEY, key.as_str());
    }
    for (name, value) in &req.extra {
        call = call.header(*name, value.as_str());
    }
    call.send_body(req.body.clone()).await
}

async fn exchange(client: &Client, addr: SocketAddr, req: &Outgoing, wait: Wait) -> CallEnd {
    match send(client, addr, req, wait).await {
        Ok(response) => read_response(response, &req.id).await,
        Err(e) if never_sent(&e) => CallEnd::NotRun { leaving: false, connected: false },
        Err(e) => CallEnd::Broken(e.to_string().into()),
    }
}

/// Returns whether certainly no byte was sent. Only a refused connection proves that.
fn never_sent(e: &ClientError) -> bool {
    let ClientError::Connect(ConnectError::Disconnected(Some(e))) = e else { return false };
    e.kind() == std::io::ErrorKind::ConnectionRefused
}

fn header_text<'a>(response: &'a ClientResponse, name: &str) -> Option<&'a str> {
    response.headers().get(name).and_then(|v| v.to_str().ok())
}

async fn read_response(response: ClientResponse, id: &str) -> CallEnd {
    if header_text(&response, headers::REQUEST) != Some(id) {
        return CallEnd::Crossed;
    }
    if header_text(&response, headers::NOT_RUN).is_some() {
        let leaving = header_text(&response, headers::LEAVING).is_some();
        return CallEnd::NotRun { leaving, connected: true };
    }
    let length = header_text(&response, headers::BODY_LENGTH).and_then(|l| l.parse::<usize>().ok());
    let load = header_text(&response, headers::LOAD).and_then(|l| l.parse().ok());
    let status = response.status();
    let body = match response.body().limit(MAX_BODY_BYTES).await {
        Ok(body) => body.to_vec(),
        Err(e) => return CallEnd::Broken(format!("the answer was cut off: {e}").into()),
    };
    if length != Some(body.len()) {
        return CallEnd::Broken("the answer is incomplete".into());
    }
    match status {
        StatusCode::OK => CallEnd::Done { body, load },
        other => CallEnd::Failed(format!("the upstream answered {}", other.as_u16()).into()),
    }
}

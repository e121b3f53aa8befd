//! A minimal HTTP/1.1 implementation, hand-written so that test doubles can violate the protocol on purpose.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// An HTTP request or response as it is on the wire.
#[derive(Clone, Debug, Default)]
pub struct Wire {
    /// The request line or the status line.
    pub first_line: String,
    /// The headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Wire {
    /// Returns the value of a header, or an empty string if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the status code of a response, or zero if there is none.
    pub fn status(&self) -> u32 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message. Returns `None` if the connection ends before the message is complete.
pub fn read_wire(stream: &mut TcpStream) -> Option<Wire> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).to_string();
    let mut lines = text.split("\r\n");
    let first_line = lines.next()?.to_string();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(k, v)| (k.trim().to_lowercase(), v.trim().to_string()))
        .collect();
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Wire { first_line, headers, body })
}

/// Writes one message, with its `content-length`.
///
/// # Errors
/// Returns an error if the connection is closed.
pub fn write_wire(
    stream: &mut TcpStream,
    first_line: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut text = format!("{first_line}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    stream.write_all(text.as_bytes())?;
    stream.write_all(body)
}

/// Makes one call on a new connection. Returns `None` if it fails; `timeout` bounds the connect and each read.
pub fn call(
    addr: SocketAddr,
    first_line: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> Option<Wire> {
    let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    write_wire(&mut stream, first_line, headers, body).ok()?;
    read_wire(&mut stream)
}

//! The instances of the cell, as listed in the settings.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{InstanceId, ZoneId};

/// One instance of the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The address for the other instances.
    pub addr: SocketAddr,
    /// The address for callers' requests, to which instances of other zones forward theirs.
    pub callers: SocketAddr,
    /// Whether it has a data folder and may therefore vote.
    pub has_disk: bool,
}

impl Peer {
    /// Parses `name=zone@ip:port/ip:port`, with the addresses for instances and for callers, followed by `+disk` if the
    /// instance has a data folder.
    ///
    /// # Errors
    /// Returns a message that names the missing or malformed part.
    pub fn parse(text: &str) -> Result<Peer, String> {
        let (body, has_disk) = match text.strip_suffix("+disk") {
            Some(body) => (body, true),
            None => (text, false),
        };
        let (id, rest) = body.split_once('=').ok_or_else(|| format!("no '=' in \"{text}\""))?;
        let (zone, addr) = rest.split_once('@').ok_or_else(|| format!("no '@' in \"{text}\""))?;
        if id.is_empty() || zone.is_empty() {
            return Err(format!("empty name or zone in \"{text}\""));
        }
        let (addr, callers) =
            addr.split_once('/').ok_or_else(|| format!("no '/' in \"{text}\""))?;
        let (addr, callers) = (parse_addr(addr)?, parse_addr(callers)?);
        Ok(Peer { id: id.into(), zone: zone.into(), addr, callers, has_disk })
    }
}

fn parse_addr(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("\"{text}\" is not an ip:port"))
}

//! The instances of the cell, as settings name them.

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
    /// Where the other instances reach it.
    pub addr: SocketAddr,
    /// Where it takes callers' requests, so that other zones can pass theirs on.
    pub callers: SocketAddr,
    /// Whether it has a data folder and so may vote.
    pub has_disk: bool,
}

impl Peer {
    /// Reads `name=zone@ip:port/ip:port`: the addresses for instances and for callers, with `+disk` behind it if the instance has a data folder.
    ///
    /// # Errors
    /// Says which part is missing or malformed.
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

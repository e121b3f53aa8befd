//! Forwarding of requests to other zones.

use std::net::SocketAddr;

use clock::Millis;
use model::{Answer, Name, Refusal};
use upstream::headers;

use super::CallerService;
use super::incoming::Incoming;

/// The maximum number of instances of other zones to which a request is forwarded.
const MAX_FORWARD_ATTEMPTS: usize = 2;

impl CallerService {
    /// Forwards a request that this zone refused to instances of other zones.
    pub(super) async fn forward(&self, incoming: &Incoming) -> Option<Answer> {
        let zone = self.shared.zone();
        let peers = &self.shared.settings.peers;
        let mut others: Vec<(Name, SocketAddr)> = peers
            .values()
            .filter(|p| p.zone != *zone)
            .map(|p| (p.id.0.clone(), p.callers))
            .collect();
        // Each request starts at a different instance, so that no instance receives all of them.
        let begin = self.shared.journal.clock().next() as usize % others.len().max(1);
        others.rotate_left(begin);
        for (name, addr) in others.into_iter().take(MAX_FORWARD_ATTEMPTS) {
            let left = incoming.deadline.since(self.shared.now());
            let mut req = self.outgoing(incoming);
            req.extra.extend(forwarding_headers(incoming, zone.as_str(), left));
            match self.clients.call_peer(&name, addr, &req, left).await {
                Answer::Refused { .. } => {}
                answer => return Some(answer),
            }
        }
        None
    }
}

/// Returns whether a request may be forwarded: it certainly did not run, another zone may have
/// capacity for it, and it was not forwarded before.
pub(super) fn may_forward(incoming: &Incoming, reason: Refusal) -> bool {
    !incoming.forwarded && matches!(reason, Refusal::Overloaded | Refusal::NoUpstream)
}

fn forwarding_headers(
    incoming: &Incoming,
    zone: &str,
    left: Millis,
) -> Vec<(&'static str, String)> {
    let mut extra = vec![
        (headers::FORWARDED_BY, zone.to_string()),
        (headers::CLASS, incoming.class.as_str().to_string()),
        (headers::DEADLINE, left.0.to_string()),
    ];
    if let Some(claim) = &incoming.key {
        extra.push((headers::REPEATABLE, "no".to_string()));
        extra.push((headers::KEY_ISSUED_AT, claim.issued.0.to_string()));
    }
    extra
}

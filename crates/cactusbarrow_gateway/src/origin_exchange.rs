//! Exchange of the origins of streams with other gateways, in datagrams.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Mutex;
use std::time::Duration;

use cactusbarrow_net::Clock;
use cactusbarrow_policy::{
    ASKED_ORIGIN_HOLDERS, AnnouncedOrigin, ORIGIN_HOLDERS, ServiceId, SoftwareId, StreamId,
    StreamOrigin, origin_holders,
};
use cactusbarrow_protocol::generated::{StreamOriginMessage, StreamOriginRecord};
use prost::Message;
use tokio::sync::watch;

use crate::origin_store;
use crate::shared::{Shared, lock};

/// First byte of the datagrams; no protobuf message begins with it.
const PREFIX: u8 = 0;

/// Longest wait for the origin of a stream; its caller waits.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after which gateways that have not answered are asked again, since a datagram may be lost.
const REPEAT_AFTER: Duration = Duration::from_millis(50);

/// Gateways that have not answered yet, for each stream whose origin is sought.
#[derive(Debug, Default)]
pub(crate) struct OriginSearches(Mutex<HashMap<StreamId, watch::Sender<Vec<Ipv4Addr>>>>);

impl OriginSearches {
    /// Begins a search, or joins one for the same stream.
    fn begin(&self, stream: StreamId, asked: &[Ipv4Addr]) -> OriginSearch<'_> {
        let mut searches = lock(&self.0);
        let search = searches
            .entry(stream)
            .or_insert_with(|| watch::Sender::new(asked.to_vec()));
        OriginSearch {
            unanswered: search.subscribe(),
            stream,
            searches: self,
        }
    }

    fn record_unknown(&self, stream: StreamId, from: Ipv4Addr) {
        if let Some(unanswered) = lock(&self.0).get(&stream) {
            unanswered.send_modify(|unanswered| unanswered.retain(|ip| *ip != from));
        }
    }

    /// Ends the searches for a stream, because its origin was found or nobody answers.
    fn end(&self, stream: StreamId) {
        if let Some(unanswered) = lock(&self.0).remove(&stream) {
            unanswered.send_modify(Vec::clear);
        }
    }
}

/// A search for the origin of one stream; it ends when it is dropped, as when its caller has left.
struct OriginSearch<'a> {
    /// Gateways that have not answered yet.
    unanswered: watch::Receiver<Vec<Ipv4Addr>>,
    stream: StreamId,
    searches: &'a OriginSearches,
}

impl Drop for OriginSearch<'_> {
    fn drop(&mut self) {
        self.searches.end(self.stream);
    }
}

/// Returns whether a datagram is one of this module's, not a heartbeat.
pub(crate) fn is_origin_message(buf: &[u8]) -> bool {
    buf.first() == Some(&PREFIX)
}

/// Tells other gateways the origin of a stream that begins here; it does not wait for them.
pub(crate) fn announce<C: Clock>(shared: &Shared<C>, announced: AnnouncedOrigin) {
    let holders = {
        let peers = shared.peers();
        let candidates = peers.live_or_named(shared.now());
        origin_holders(announced.origin.stream, candidates, ORIGIN_HOLDERS)
    };
    let message = StreamOriginMessage {
        announced: Some(origin_to_wire(announced.origin)),
        number: announced.number,
        ..message(shared)
    };
    send(shared, &message, &holders);
}

/// Asks the gateways that may hold the origin of a stream, and records it if one of them does.
pub(crate) async fn ask_holders<C: Clock>(shared: &Shared<C>, stream: StreamId) {
    let holders = {
        let peers = shared.peers();
        origin_holders(stream, peers.known(), ASKED_ORIGIN_HOLDERS)
    };
    if holders.is_empty() {
        return;
    }
    let message = StreamOriginMessage {
        asked: Some(stream.0),
        ..message(shared)
    };
    let mut search = shared.origin_searches().begin(stream, &holders);
    let ask = async {
        send(shared, &message, &holders);
        let answered = search.unanswered.wait_for(Vec::is_empty);
        if tokio::time::timeout(REPEAT_AFTER, answered).await.is_err() {
            let silent = search.unanswered.borrow().clone();
            send(shared, &message, &silent);
            // An error means that another search for the stream has ended this one.
            let _ = search.unanswered.wait_for(Vec::is_empty).await;
        }
    };
    let _ = tokio::time::timeout(ANSWER_TIMEOUT, ask).await;
}

/// Handles a datagram from another gateway.
pub(crate) fn receive<C: Clock>(shared: &Shared<C>, from: Ipv4Addr, buf: &[u8]) {
    let message = match StreamOriginMessage::decode(&buf[1..]) {
        Ok(message) => message,
        Err(e) => {
            log::warn!(peer:% = from; "message on origins cannot be decoded: {e}");
            return;
        }
    };
    let now = shared.now();
    if let Some(announced) = message.announced {
        let origin = origin_from_wire(announced);
        shared.origins().record(origin, now);
        let announced = AnnouncedOrigin {
            origin,
            number: message.number,
        };
        shared
            .unstored_origins()
            .record(from, message.incarnation, announced, now);
    }
    if let Some(found) = message.found {
        let origin = origin_from_wire(found);
        shared.origins().record(origin, now);
        shared.origin_searches().end(origin.stream);
    }
    if let Some(stream) = message.unknown {
        shared
            .origin_searches()
            .record_unknown(StreamId(stream), from);
    }
    if let Some(stream) = message.asked {
        answer(shared, from, StreamId(stream));
    }
}

fn answer<C: Clock>(shared: &Shared<C>, asker: Ipv4Addr, stream: StreamId) {
    let origin = shared.origins().find_origin(stream, shared.now());
    let message = StreamOriginMessage {
        found: origin.map(origin_to_wire),
        unknown: origin.is_none().then_some(stream.0),
        ..message(shared)
    };
    send(shared, &message, &[asker]);
}

/// Writes the origins that their gateways did not write in time.
pub(crate) fn adopt_orphans<C: Clock>(shared: &Shared<C>) {
    let now = shared.now();
    let write_interval = origin_store::write_interval(shared);
    let orphans = shared.unstored_origins().take_orphans(write_interval, now);
    if orphans.is_empty() {
        return;
    }
    metrics::counter!("gateway_adopted_origins_total").increment(orphans.len() as u64);
    log::info!(origins = orphans.len(); "origins of another gateway taken over");
    let mut pages = shared.origin_pages();
    for origin in orphans {
        pages.add(origin, now);
    }
    shared.origin_change().notify_one();
}

fn message<C: Clock>(shared: &Shared<C>) -> StreamOriginMessage {
    StreamOriginMessage {
        incarnation: shared.incarnation(),
        ..StreamOriginMessage::default()
    }
}

/// Sends a datagram without waiting: the network may lose it in any case.
fn send<C: Clock>(shared: &Shared<C>, message: &StreamOriginMessage, to: &[Ipv4Addr]) {
    let mut buf = vec![PREFIX];
    // A vector grows as needed.
    let _ = message.encode(&mut buf);
    for ip in to {
        let addr = SocketAddr::new(IpAddr::V4(*ip), shared.settings.peers.port());
        if let Err(e) = shared.peer_socket().try_send_to(&buf, addr) {
            metrics::counter!("gateway_origin_send_failures_total").increment(1);
            log::debug!(step = "send origin", peer:% = addr; "not sent: {e}");
        }
    }
}

fn origin_to_wire(origin: StreamOrigin) -> StreamOriginRecord {
    StreamOriginRecord {
        stream: origin.stream.0,
        service: origin.service.0,
        software: origin.software.0,
    }
}

fn origin_from_wire(wire: StreamOriginRecord) -> StreamOrigin {
    StreamOrigin {
        stream: StreamId(wire.stream),
        service: ServiceId(wire.service),
        software: SoftwareId(wire.software),
    }
}

//! Gossip of the configuration among routers.
//!
//! A router that adopts a revision offers it to a few random peers, which pull
//! the changes that they lack. Each router also compares revisions with one
//! random peer at a regular interval, so that a router catches up after it was
//! partitioned from the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactusbarrow_net::Clock;
use cactusbarrow_platform::{HostList, Store};
use cactusbarrow_policy::Revision;
use cactusbarrow_protocol::delta_from_wire;
use cactusbarrow_protocol::generated::control_reply::Reply;
use cactusbarrow_protocol::generated::control_request::Request;
use cactusbarrow_protocol::generated::{Offer, Pull};
use rand::seq::IndexedRandom;

use crate::hosts::jitter;
use crate::router::Router;

/// Number of peers that a new revision is offered to immediately.
const GOSSIP_FANOUT: usize = 3;
const OFFER_TIMEOUT: Duration = Duration::from_millis(500);
const PULL_TIMEOUT: Duration = Duration::from_secs(3);

/// Offers new revisions to peers until the router stops.
pub(crate) async fn run_gossip<S: Store + HostList, C: Clock>(router: Arc<Router<S, C>>) {
    let mut fleet_rx = router.config.subscribe();
    loop {
        let pause = router.cfg.gossip_interval.mul_f64(jitter());
        let count = tokio::select! {
            () = router.stop.cancelled() => return,
            changed = fleet_rx.changed() => if changed.is_ok() { GOSSIP_FANOUT } else { return },
            () = tokio::time::sleep(pause) => 1,
        };
        let others = router.peers.others();
        for peer in others.sample(&mut rand::rng(), count) {
            router.tasks.spawn(offer(router.clone(), peer.control));
        }
    }
}

/// Pulls the changes that a peer has beyond the current revision, and adopts them.
pub(crate) async fn pull<S: Store + HostList, C: Clock>(
    router: Arc<Router<S, C>>,
    peer: SocketAddr,
) {
    let since = router.config.revision();
    let req = Request::Pull(Pull { since: since.0 });
    match router.control.call(peer, req, PULL_TIMEOUT).await {
        Ok(Reply::Delta(delta)) => {
            let delta = delta_from_wire(delta);
            router.config.adopt(&delta, &peer.to_string());
        }
        Ok(_) => {}
        Err(e) => log::debug!(step = "pull configuration", peer = e.peer; "{e}"),
    }
}

async fn offer<S: Store + HostList, C: Clock>(router: Arc<Router<S, C>>, peer: SocketAddr) {
    let offer = Offer {
        revision: router.config.revision().0,
        from: router.peers.own().control.to_string(),
    };
    let reply = router
        .control
        .call(peer, Request::Offer(offer), OFFER_TIMEOUT)
        .await;
    match reply {
        Ok(Reply::Offer(reply)) if Revision(reply.revision) > router.config.revision() => {
            pull(router, peer).await;
        }
        Ok(_) => {}
        Err(e) => log::debug!(step = "offer configuration", peer = e.peer; "{e}"),
    }
}

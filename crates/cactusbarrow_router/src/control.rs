//! Handling of control messages from other routers.

use std::sync::Arc;

use cactusbarrow_net::{Clock, ControlHandler};
use cactusbarrow_platform::{HostList, Store};
use cactusbarrow_policy::{ClaimNonce, KeyHash, Revision};
use cactusbarrow_protocol::delta_to_wire;
use cactusbarrow_protocol::generated as wire;
use wire::control_reply::Reply;
use wire::control_request::Request;

use crate::gossip;
use crate::router::Router;

/// Control handler of a router.
#[derive(Debug)]
pub(crate) struct RouterControl<S, C>(pub(crate) Arc<Router<S, C>>);

impl<S: Store + HostList, C: Clock> ControlHandler for RouterControl<S, C> {
    async fn handle(&self, req: Request) -> Reply {
        let router = &self.0;
        let now = router.clock.now();
        match req {
            Request::Claim(claim) => Reply::Claim(router.claim_for_peer(claim).await),
            Request::Release(release) => {
                if let Some(key) = KeyHash::from_slice(&release.key) {
                    router.release_locally(key, ClaimNonce(release.nonce));
                }
                Reply::Done(wire::Done {})
            }
            Request::DirectoryPut(put) => {
                let entry = put.entry.unwrap_or_default();
                Reply::Directory(router.directory.put(entry, put.only_if_absent, now))
            }
            Request::DirectoryGet(get) => {
                let entry = KeyHash::from_slice(&get.key)
                    .map(|key| router.directory.get(key, now))
                    .unwrap_or_default();
                Reply::Directory(entry)
            }
            Request::Offer(offer) => Reply::Offer(self.handle_offer(&offer)),
            Request::Pull(pull) => {
                let delta = router.config.delta_since(Revision(pull.since));
                Reply::Delta(delta_to_wire(&delta))
            }
            // Only agents handle these.
            Request::Poll(_) | Request::Cancel(_) => Reply::Done(wire::Done {}),
        }
    }
}

impl<S: Store + HostList, C: Clock> RouterControl<S, C> {
    fn handle_offer(&self, offer: &wire::Offer) -> wire::OfferReply {
        let router = &self.0;
        let revision = router.config.revision();
        if Revision(offer.revision) > revision
            && let Ok(peer) = offer.from.parse()
        {
            router.tasks.spawn(gossip::pull(router.clone(), peer));
        }
        wire::OfferReply {
            revision: revision.0,
        }
    }
}

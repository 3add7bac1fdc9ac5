//! Sends claims of calls to the router that owns the key's shard.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cactusbarrow_net::Clock;
use cactusbarrow_platform::{HostList, Store, claim_shard_of};
use cactusbarrow_policy::{ClaimRequest, ClaimVerdict};
use cactusbarrow_protocol::generated as wire;
use wire::control_reply::Reply;
use wire::control_request::Request;

use crate::config::Peer;
use crate::router::Router;

/// Time that the owner's reply may take beyond the claim's deadline.
const OWNER_REPLY_MARGIN: Duration = Duration::from_millis(200);
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

impl<S: Store + HostList, C: Clock> Router<S, C> {
    /// Claims a call; returns `Unavailable` if there is no verdict shortly after its deadline.
    pub(crate) async fn claim(self: &Arc<Self>, req: ClaimRequest) -> ClaimVerdict {
        let reply_deadline = req.deadline + OWNER_REPLY_MARGIN;
        tokio::time::timeout_at(reply_deadline.into(), self.claim_via_owner(req))
            .await
            .unwrap_or(ClaimVerdict::Unavailable)
    }

    /// Claims a call through the shard's owner, which batches writes; falls back to this process.
    async fn claim_via_owner(self: &Arc<Self>, req: ClaimRequest) -> ClaimVerdict {
        let Some(owner) = self.claim_owner(&req) else {
            return self.claim_locally(req).await;
        };
        let remaining = req.deadline.saturating_duration_since(self.clock.now());
        let claim = Request::Claim(wire::Claim {
            key: req.key.to_bytes().to_vec().into(),
            nonce: req.nonce.0,
            body_hash: req.body_hash,
            remaining_ms: remaining.as_millis() as u32,
        });
        let timeout = remaining / 2 + OWNER_REPLY_MARGIN;
        match self.control.call(owner.control, claim, timeout).await {
            Ok(Reply::Claim(reply)) => verdict_from_wire(reply.outcome()),
            Ok(_) => ClaimVerdict::Unavailable,
            Err(e) => {
                log::info!(step = "claim", peer = e.peer; "no reply from the owner of the claim shard; claiming locally: {e}");
                // The nonce is the same, so a claim that the owner did write is granted to us.
                self.claim_locally(req).await
            }
        }
    }

    /// Releases the claim of a call that was certainly not run, without waiting.
    pub(crate) fn release(self: &Arc<Self>, req: &ClaimRequest) {
        let (key, nonce) = (req.key, req.nonce);
        let Some(owner) = self.claim_owner(req) else {
            self.release_locally(key, nonce);
            return;
        };
        let release = Request::Release(wire::ReleaseClaim {
            key: key.to_bytes().to_vec().into(),
            nonce: nonce.0,
        });
        let router = self.clone();
        self.tasks.spawn(async move {
            let released = router
                .control
                .call(owner.control, release, RELEASE_TIMEOUT)
                .await;
            if released.is_err() {
                router.release_locally(key, nonce);
            }
        });
    }

    /// Returns the router that owns a key's shard; `None` if it is this one.
    fn claim_owner(&self, req: &ClaimRequest) -> Option<Peer> {
        let shard = claim_shard_of(req.key);
        let owner = self.peers.owners(u64::from(shard)).into_iter().next()?;
        (!self.peers.is_own(&owner)).then_some(owner)
    }

    /// Claims a call for a peer and returns the reply to it.
    pub(crate) async fn claim_for_peer(self: &Arc<Self>, claim: wire::Claim) -> wire::ClaimReply {
        let outcome = match claim_from_wire(&claim, self.clock.now()) {
            Some(req) => verdict_to_wire(self.claim_locally(req).await),
            None => wire::ClaimOutcome::Unavailable,
        };
        wire::ClaimReply {
            outcome: outcome.into(),
        }
    }
}

fn claim_from_wire(claim: &wire::Claim, now: Instant) -> Option<ClaimRequest> {
    Some(ClaimRequest {
        key: cactusbarrow_policy::KeyHash::from_slice(&claim.key)?,
        nonce: cactusbarrow_policy::ClaimNonce(claim.nonce),
        body_hash: claim.body_hash,
        deadline: now + Duration::from_millis(u64::from(claim.remaining_ms)),
    })
}

fn verdict_from_wire(outcome: wire::ClaimOutcome) -> ClaimVerdict {
    match outcome {
        wire::ClaimOutcome::Granted => ClaimVerdict::Granted,
        wire::ClaimOutcome::Held => ClaimVerdict::Held,
        wire::ClaimOutcome::Conflict => ClaimVerdict::Conflict,
        wire::ClaimOutcome::Expired => ClaimVerdict::Expired,
        wire::ClaimOutcome::Unavailable | wire::ClaimOutcome::Unspecified => {
            ClaimVerdict::Unavailable
        }
    }
}

fn verdict_to_wire(verdict: ClaimVerdict) -> wire::ClaimOutcome {
    match verdict {
        ClaimVerdict::Granted => wire::ClaimOutcome::Granted,
        ClaimVerdict::Held => wire::ClaimOutcome::Held,
        ClaimVerdict::Conflict => wire::ClaimOutcome::Conflict,
        ClaimVerdict::Expired => wire::ClaimOutcome::Expired,
        ClaimVerdict::Unavailable => wire::ClaimOutcome::Unavailable,
    }
}

//! Keeps a copy of a running generation's memory at another engine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cactusbarrow_adapter::{CopyLocation, MemoryCopy, copy_request, decode_copy, release_request};
use cactusbarrow_net::{Clock, NetError, collect_limited};
use cactusbarrow_policy::{
    BackendEntry, BackendKey, BackendWork, CopyAction, CopyConfig, CopyPlan,
};
use http::StatusCode;
use tokio::task::JoinError;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::exchange::Connection;
use crate::shared::Shared;

/// Longest wait for a connection to the engine that runs the generation.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest wait for a copy; transfers queue on the engines' links.
const COPY_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer to an order to copy memory.
const MAX_ANSWER_BYTES: usize = 64 << 10;

type CopyResult = Result<MemoryCopy, NetError>;

/// The engine that keeps the copy.
#[derive(Clone, Debug)]
pub(crate) struct Holder {
    pub(crate) key: BackendKey,
    pub(crate) entry: BackendEntry,
    /// Name of the copy and the engine that made it; `None` for the engine's own backup.
    made: Option<CopyLocation>,
    /// Cancelled when the engine is lost or leaves. It is taken when the engine is chosen,
    /// so that a loss while the prompt is still read is not missed.
    gone: CancellationToken,
}

impl Holder {
    /// Returns the holder of an engine's own backup.
    pub(crate) fn of_backup<C: Clock>(
        shared: &Shared<C>,
        key: BackendKey,
        entry: BackendEntry,
    ) -> Self {
        Self {
            gone: shared.gone_token(key),
            key,
            entry,
            made: None,
        }
    }

    /// Returns the copy from which the generation goes on.
    pub(crate) fn resume(&self, request_id: &str) -> CopyLocation {
        self.made.clone().unwrap_or_else(|| CopyLocation {
            holder: self.entry.address,
            copy: request_id.to_owned(),
        })
    }
}

/// What happened to the copies.
pub(crate) enum CopyNews {
    /// The engine with the copy is lost or leaves.
    HolderGone,
    /// Something is due.
    Due,
    /// An order to copy has ended.
    Ended(CopyResult),
}

/// The copies of one attempt.
pub(crate) struct Copies<C: Clock> {
    shared: Arc<Shared<C>>,
    key: BackendKey,
    engine: BackendEntry,
    work: BackendWork,
    plan: CopyPlan,
    holder: Option<Holder>,
    order: Option<(Holder, AbortOnDropHandle<CopyResult>)>,
}

impl<C: Clock> Copies<C> {
    /// Creates the copies of an attempt whose engine was told of `holder`.
    pub(crate) fn new(
        shared: Arc<Shared<C>>,
        (key, engine): (BackendKey, BackendEntry),
        work: BackendWork,
        holder: Option<Holder>,
    ) -> Self {
        let copies = Self {
            shared,
            key,
            engine,
            work,
            plan: CopyPlan::new(CopyConfig::default()),
            holder,
            order: None,
        };
        copies.count(true);
        copies
    }

    /// Returns the engine that keeps a copy now.
    pub(crate) fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// Waits for news; never ends if there will be none.
    pub(crate) async fn news(&mut self) -> CopyNews {
        if let Some((_, order)) = &mut self.order {
            return CopyNews::Ended(ended(order.await, &self.engine));
        }
        let due = self.plan.next_due();
        let gone = self.holder.as_ref().map(|holder| holder.gone.clone());
        tokio::select! {
            () = cancelled(gone) => CopyNews::HolderGone,
            () = sleep_until(due) => CopyNews::Due,
        }
    }

    /// Takes news and starts what follows.
    pub(crate) fn handle(&mut self, news: CopyNews, request_id: &str, excluded: &[BackendKey]) {
        let now = self.shared.now();
        match news {
            CopyNews::HolderGone => {
                log::info!(
                    request_id = request_id,
                    holder = self.holder.as_ref().map_or("none", |h| &*h.entry.instance);
                    "copy of a generation's memory lost"
                );
                self.set_holder(None);
                self.plan.record_holder_lost(now);
            }
            CopyNews::Due => {}
            CopyNews::Ended(result) => self.take_result(result, request_id, now),
        }
        match self.plan.poll(now) {
            CopyAction::Wait => {}
            CopyAction::CopyElsewhere => self.copy_elsewhere(request_id, excluded, now),
            CopyAction::Renew => match self.holder.clone() {
                Some(holder) => self.order(holder, request_id),
                None => self.plan.record_result(false, now),
            },
        }
    }

    /// Frees a copy that was ordered, since the generation is complete.
    ///
    /// An engine's own backup ends with the run; an ordered copy would stay for seconds.
    pub(crate) fn release(&self) {
        if let Some(made) = self.holder.as_ref().and_then(|holder| holder.made.clone()) {
            tokio::spawn(release(made));
        }
    }

    fn take_result(&mut self, result: CopyResult, request_id: &str, now: Instant) {
        let Some((holder, _)) = self.order.take() else {
            return;
        };
        self.plan.record_result(result.is_ok(), now);
        match result {
            Ok(copy) => {
                log::info!(
                    request_id = request_id,
                    holder = &*holder.entry.instance,
                    events = copy.events;
                    "memory of a generation copied"
                );
                let made = CopyLocation {
                    holder: self.engine.address,
                    copy: copy.name,
                };
                self.set_holder(Some(Holder {
                    made: Some(made),
                    ..holder
                }));
            }
            Err(e) => {
                // An older copy still stands unless its engine is gone, too.
                let is_gone = |holder: &Holder| holder.gone.is_cancelled();
                let has_copy = self.holder.as_ref().is_some_and(|holder| !is_gone(holder));
                log::info!(
                    request_id = request_id,
                    step = e.step,
                    has_older_copy = has_copy;
                    "memory not copied: {e}"
                );
                if !has_copy {
                    self.set_holder(None);
                }
            }
        }
    }

    fn copy_elsewhere(&mut self, request_id: &str, excluded: &[BackendKey], now: Instant) {
        let holder = self.choose_holder(excluded, now);
        match holder {
            Some(holder) => self.order(holder, request_id),
            None => self.plan.record_result(false, now),
        }
    }

    fn choose_holder(&self, excluded: &[BackendKey], now: Instant) -> Option<Holder> {
        let shared = &self.shared;
        let capacity = shared.kv_capacity(&self.engine.service);
        let fleet = shared.fleet();
        let rng = &mut *shared.rng();
        let key = fleet.choose_copy_holder(self.key, capacity, self.work, excluded, now, rng)?;
        let entry = fleet.get(key)?.entry.clone();
        Some(Holder::of_backup(shared, key, entry))
    }

    fn order(&mut self, holder: Holder, request_id: &str) {
        metrics::counter!("gateway_memory_copies_total").increment(1);
        let order = tokio::spawn(copy(
            self.engine.clone(),
            holder.entry.clone(),
            request_id.to_owned(),
        ));
        self.order = Some((holder, AbortOnDropHandle::new(order)));
    }

    fn set_holder(&mut self, holder: Option<Holder>) {
        self.count(false);
        self.holder = holder;
        self.count(true);
    }

    /// Counts or discounts the memory that the copy takes at its holder.
    fn count(&self, is_held: bool) {
        if let Some(holder) = &self.holder {
            let mut fleet = self.shared.fleet();
            fleet.record_copy(holder.key, self.work, is_held);
        }
    }
}

impl<C: Clock> Drop for Copies<C> {
    fn drop(&mut self) {
        self.count(false);
    }
}

async fn cancelled(token: Option<CancellationToken>) {
    match token {
        Some(token) => token.cancelled().await,
        None => std::future::pending().await,
    }
}

async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}

fn ended(result: Result<CopyResult, JoinError>, engine: &BackendEntry) -> CopyResult {
    result.unwrap_or_else(|e| Err(NetError::new("copy memory", engine.address, e)))
}

/// Orders the engine that made a copy to free it.
async fn release(made: CopyLocation) {
    const STEP: &str = "release memory";
    let exchange = async {
        let conn = Connection::open(made.holder, CONNECT_TIMEOUT).await?;
        conn.send(STEP, release_request(made.holder, &made.copy))
            .await
    };
    let result = tokio::time::timeout(COPY_TIMEOUT, exchange).await;
    if !matches!(result, Ok(Ok(_))) {
        // The engine frees it by itself after a while.
        log::info!(peer:% = made.holder, step = STEP; "copy of a generation's memory not freed");
    }
}

/// Orders an engine to copy a generation's memory and waits for the end.
async fn copy(engine: BackendEntry, to: BackendEntry, request_id: String) -> CopyResult {
    const STEP: &str = "copy memory";
    let exchange = async {
        let conn = Connection::open(engine.address, CONNECT_TIMEOUT).await?;
        let req = copy_request(engine.address, &request_id, to.address);
        let (head, body, _driver) = conn.send(STEP, req).await?.into_parts();
        if head.status != StatusCode::OK {
            let status = format!("status {}", head.status);
            return Err(NetError::new(STEP, engine.address, status));
        }
        let body = collect_limited(body, MAX_ANSWER_BYTES, &request_id).await?;
        let body =
            body.ok_or_else(|| NetError::new(STEP, engine.address, "answer is too large"))?;
        decode_copy(&body).map_err(|e| NetError::new(STEP, engine.address, e))
    };
    tokio::time::timeout(COPY_TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_| Err(NetError::new(STEP, engine.address, "no answer in time")))
}

//! Maintains a copy of a running generation's memory at another engine, its holder.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cactusbarrow_adapter::{
    CopyLocation, MemoryCopy, copy_request, decode_copy, decode_server_notice, release_request,
};
use cactusbarrow_net::{Body, Clock, NetError};
use cactusbarrow_policy::{
    BackendEntry, BackendKey, BackendWork, CopyAction, CopyConfig, CopyPlan,
};
use http::{Request, StatusCode};
use tokio::task::JoinError;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::backend_connection::{BackendConnection, StreamingResponse};
use crate::shared::Shared;

/// Time-out of a connect to the engine that runs the generation.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time-out of a copy order, which allows for transfers that queue on the engines' links.
const COPY_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of the largest response to a copy order.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

type CopyResult = Result<MemoryCopy, NetError>;

/// The engine that holds a copy.
#[derive(Clone, Debug)]
pub(crate) struct Holder {
    pub(crate) key: BackendKey,
    pub(crate) entry: BackendEntry,
    /// Name of an ordered copy and the engine that made it; `None` for the copy that the running
    /// engine maintains.
    ordered_copy: Option<CopyLocation>,
    /// Cancelled when the holder is lost or drains. The token is taken when the holder is chosen,
    /// so that a loss during the prefill is not missed.
    unreliable: CancellationToken,
}

impl Holder {
    /// Creates the holder of the copy that the running engine maintains.
    pub(crate) fn new<C: Clock>(shared: &Shared<C>, key: BackendKey, entry: BackendEntry) -> Self {
        Self {
            unreliable: shared.unreliable_token(key),
            key,
            entry,
            ordered_copy: None,
        }
    }

    /// Returns the location of the copy from which the generation resumes.
    pub(crate) fn copy_location(&self, request_id: &str) -> CopyLocation {
        self.ordered_copy.clone().unwrap_or_else(|| CopyLocation {
            owner: self.entry.address,
            copy: request_id.to_owned(),
        })
    }
}

/// An event that the copy manager has to handle.
pub(crate) enum CopyEvent {
    /// The holder is lost or drains.
    HolderLost,
    /// The plan's next action is due.
    Due,
    /// A copy order has ended.
    OrderEnded(CopyResult),
}

/// Manages the copies of one attempt.
pub(crate) struct CopyManager<C: Clock> {
    shared: Arc<Shared<C>>,
    key: BackendKey,
    engine: BackendEntry,
    work: BackendWork,
    plan: CopyPlan,
    holder: Option<Holder>,
    order: Option<(Holder, AbortOnDropHandle<CopyResult>)>,
}

impl<C: Clock> CopyManager<C> {
    /// Creates the manager of an attempt whose engine was sent the address of `holder`.
    pub(crate) fn new(
        shared: Arc<Shared<C>>,
        (key, engine): (BackendKey, BackendEntry),
        work: BackendWork,
        holder: Option<Holder>,
    ) -> Self {
        let manager = Self {
            shared,
            key,
            engine,
            work,
            plan: CopyPlan::new(CopyConfig::default()),
            holder,
            order: None,
        };
        manager.record_copy_load(true);
        manager
    }

    /// Returns the current holder.
    pub(crate) fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// Waits for the next event; waits forever if there will be none.
    pub(crate) async fn next_event(&mut self) -> CopyEvent {
        if let Some((_, order)) = &mut self.order {
            return CopyEvent::OrderEnded(flatten_result(order.await, &self.engine));
        }
        let due = self.plan.next_due();
        let unreliable = self.holder.as_ref().map(|holder| holder.unreliable.clone());
        tokio::select! {
            () = wait_for_cancellation(unreliable) => CopyEvent::HolderLost,
            () = sleep_until(due) => CopyEvent::Due,
        }
    }

    /// Handles an event and starts the plan's next action.
    pub(crate) fn handle(&mut self, event: CopyEvent, request_id: &str, excluded: &[BackendKey]) {
        let now = self.shared.now();
        match event {
            CopyEvent::HolderLost => {
                log::info!(
                    request_id = request_id,
                    holder = self.holder.as_ref().map_or("none", |h| &*h.entry.instance);
                    "copy of a generation's memory lost"
                );
                self.set_holder(None);
                self.plan.record_holder_lost(now);
            }
            CopyEvent::Due => {}
            CopyEvent::OrderEnded(result) => self.handle_order_result(result, request_id, now),
        }
        match self.plan.poll(now) {
            CopyAction::Wait => {}
            CopyAction::CopyElsewhere => self.copy_elsewhere(request_id, excluded, now),
            CopyAction::Renew => match self.holder.clone() {
                Some(holder) => self.order_copy(holder, request_id),
                None => self.plan.record_result(false, now),
            },
        }
    }

    /// Releases an ordered copy of a complete generation.
    ///
    /// The copy that an engine maintains is released with its run; an ordered copy would occupy
    /// memory for seconds more.
    pub(crate) fn release(&self) {
        let holder = self.holder.as_ref();
        if let Some(ordered_copy) = holder.and_then(|holder| holder.ordered_copy.clone())
            && self.accepts_orders()
        {
            let engine = (self.key, self.engine.clone());
            tokio::spawn(send_release(self.shared.clone(), engine, ordered_copy));
        }
    }

    fn handle_order_result(&mut self, result: CopyResult, request_id: &str, now: Instant) {
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
                let ordered_copy = CopyLocation {
                    owner: self.engine.address,
                    copy: copy.name,
                };
                self.set_holder(Some(Holder {
                    ordered_copy: Some(ordered_copy),
                    ..holder
                }));
            }
            Err(e) => {
                // An older copy can still be used unless its holder is unreliable, too.
                let is_unreliable = |holder: &Holder| holder.unreliable.is_cancelled();
                let has_copy = self
                    .holder
                    .as_ref()
                    .is_some_and(|holder| !is_unreliable(holder));
                log::info!(
                    request_id = request_id,
                    step = e.step,
                    has_older_copy = has_copy;
                    "memory of a generation not copied: {e}"
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
            Some(holder) => self.order_copy(holder, request_id),
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
        Some(Holder::new(shared, key, entry))
    }

    /// Returns whether orders may be sent to the engine that runs the generation.
    fn accepts_orders(&self) -> bool {
        let now = self.shared.now();
        self.shared.fleet().accepts_orders(self.key, now)
    }

    fn order_copy(&mut self, holder: Holder, request_id: &str) {
        if !self.accepts_orders() {
            let now = self.shared.now();
            self.plan.record_result(false, now);
            return;
        }
        metrics::counter!("gateway_memory_copies_total").increment(1);
        let order = tokio::spawn(send_copy_order(
            self.shared.clone(),
            (self.key, self.engine.clone()),
            holder.entry.clone(),
            request_id.to_owned(),
        ));
        self.order = Some((holder, AbortOnDropHandle::new(order)));
    }

    fn set_holder(&mut self, holder: Option<Holder>) {
        self.record_copy_load(false);
        self.holder = holder;
        self.record_copy_load(true);
    }

    /// Adds the memory of the copy to its holder's load, or removes it.
    fn record_copy_load(&self, is_held: bool) {
        if let Some(holder) = &self.holder {
            let mut fleet = self.shared.fleet();
            fleet.record_copy(holder.key, self.work, is_held);
        }
    }
}

impl<C: Clock> Drop for CopyManager<C> {
    fn drop(&mut self) {
        self.record_copy_load(false);
    }
}

/// Waits until the token is cancelled; waits forever if there is none.
async fn wait_for_cancellation(token: Option<CancellationToken>) {
    match token {
        Some(token) => token.cancelled().await,
        None => std::future::pending().await,
    }
}

/// Sleeps until an instant; waits forever if there is none.
async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}

fn flatten_result(result: Result<CopyResult, JoinError>, engine: &BackendEntry) -> CopyResult {
    result.unwrap_or_else(|e| Err(NetError::new("copy memory", engine.address, e)))
}

/// Sends an order to an engine, unless it wants none by the time that the connection is open.
async fn send_order<C: Clock>(
    shared: &Shared<C>,
    (key, engine): (BackendKey, &BackendEntry),
    step: &'static str,
    req: Request<Body>,
) -> Result<StreamingResponse, NetError> {
    let conn = BackendConnection::open(engine.address, CONNECT_TIMEOUT).await?;
    let sent_at = shared.now();
    if !shared.fleet().accepts_orders(key, sent_at) {
        return Err(NetError::new(
            step,
            engine.address,
            "engine wants no orders",
        ));
    }
    let response = conn.send(step, req).await?;
    let notice = decode_server_notice(response.head.status, &response.head.headers);
    shared.record_notice(engine, notice, sent_at);
    Ok(response)
}

/// Requests that the engine that made a copy release it.
async fn send_release<C: Clock>(
    shared: Arc<Shared<C>>,
    (key, engine): (BackendKey, BackendEntry),
    ordered_copy: CopyLocation,
) {
    const STEP: &str = "release memory";
    let req = release_request(ordered_copy.owner, &ordered_copy.copy);
    let exchange = send_order(&shared, (key, &engine), STEP, req);
    let result = tokio::time::timeout(COPY_TIMEOUT, exchange).await;
    if !matches!(result, Ok(Ok(_))) {
        // The engine releases it by itself after a while.
        log::info!(peer:% = ordered_copy.owner, step = STEP; "copy of a generation's memory not released");
    }
}

/// Orders an engine to copy a generation's memory to `to`, and waits until it is done.
async fn send_copy_order<C: Clock>(
    shared: Arc<Shared<C>>,
    (key, engine): (BackendKey, BackendEntry),
    to: BackendEntry,
    request_id: String,
) -> CopyResult {
    const STEP: &str = "copy memory";
    let exchange = async {
        let req = copy_request(engine.address, &request_id, to.address);
        let response = send_order(&shared, (key, &engine), STEP, req).await?;
        let (head, body, _driver) = response.into_parts();
        if head.status != StatusCode::OK {
            let status = format!("status {}", head.status);
            return Err(NetError::new(STEP, engine.address, status));
        }
        let memory = shared.process_memory();
        let body = memory
            .collect(body, MAX_RESPONSE_BYTES, &request_id)
            .await?;
        let body = body.whole(STEP, &request_id)?;
        decode_copy(&body).map_err(|e| NetError::new(STEP, engine.address, e))
    };
    tokio::time::timeout(COPY_TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_| Err(NetError::new(STEP, engine.address, "no response in time")))
}

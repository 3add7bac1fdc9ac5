//! Tracking of the platform's list of hosts: live routers and leaving backend servers.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cactusbarrow_net::Clock;
use cactusbarrow_platform::{Host, HostList, HostRole, HostState, Store};
use cactusbarrow_protocol::generated::Poll;
use cactusbarrow_protocol::generated::control_request::Request;
use rand::RngExt;

use crate::config::Peer;
use crate::router::Router;

const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Size of one router in the platform's response, in bytes.
const BYTES_PER_ROUTER: f64 = 150.0;
/// Bandwidth that reading the list of routers may use, in bytes per second.
const MAX_LIST_BYTES_PER_S: f64 = 250.0;
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(1);
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(1);

/// Backend servers that are leaving, as of one index of the list of hosts.
#[derive(Debug, Default)]
pub(crate) struct LeavingServers {
    state: Mutex<LeavingState>,
}

#[derive(Clone, Debug, Default)]
struct LeavingState {
    index: u64,
    names: BTreeSet<String>,
}

impl LeavingServers {
    /// Returns whether a backend server is leaving, and the index of the list that this is from.
    pub(crate) fn contains_with_index(&self, name: &str) -> (bool, u64) {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        (state.names.contains(name), state.index)
    }

    /// Replaces the leaving backend servers; returns the names of those that were added or removed.
    fn replace(&self, index: u64, names: BTreeSet<String>) -> Vec<String> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = state.names.symmetric_difference(&names).cloned().collect();
        *state = LeavingState { index, names };
        changed
    }
}

/// Reads the list of routers until the router stops.
///
/// The interval grows with the size of the list, which bounds the bandwidth that it uses.
pub(crate) async fn watch_routers<S: Store + HostList, C: Clock>(router: Arc<Router<S, C>>) {
    loop {
        match router.store.list_routers().await {
            Ok(hosts) => apply_routers(&router, &hosts),
            Err(e) => log::warn!(step = e.step, peer = e.address; "{e}"),
        }
        let bytes = router.peers.all().len() as f64 * BYTES_PER_ROUTER;
        let pause = Duration::from_secs_f64(bytes / MAX_LIST_BYTES_PER_S).max(MIN_LIST_INTERVAL);
        tokio::select! {
            () = router.stop.cancelled() => return,
            () = tokio::time::sleep(pause.mul_f64(jitter())) => {}
        }
    }
}

/// Watches the list of leaving hosts until the router stops, while this router is a watcher.
pub(crate) async fn watch_leaving<S: Store + HostList, C: Clock>(router: Arc<Router<S, C>>) {
    let mut index = 0;
    loop {
        let is_watcher = router.peers.is_watcher(router.cfg.watchers_per_zone);
        let mut pause = Duration::ZERO;
        if is_watcher {
            match router
                .store
                .watch_leaving(index, router.cfg.watch_wait)
                .await
            {
                Ok((new_index, hosts)) if new_index != index => {
                    index = new_index;
                    apply_leaving(&router, new_index, &hosts);
                }
                Ok(_) => {}
                Err(e) => {
                    log::warn!(step = e.step, peer = e.address; "{e}");
                    pause = RETRY_INTERVAL.mul_f64(jitter());
                }
            }
        } else {
            pause = router.cfg.idle_read_interval.mul_f64(jitter());
        }
        tokio::select! {
            () = router.stop.cancelled() => return,
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Returns a random factor between 0.75 and 1.25, so that processes do not act at the same time.
pub(crate) fn jitter() -> f64 {
    rand::rng().random_range(0.75..1.25)
}

fn apply_routers<S: Store + HostList, C: Clock>(router: &Router<S, C>, hosts: &[Host]) {
    let routers: Vec<Peer> = hosts
        .iter()
        .filter(|host| host.role == HostRole::Router && host.state == HostState::Live)
        .filter_map(|host| {
            Some(Peer {
                name: host.name.clone(),
                zone: host.zone.clone(),
                control: host.control_address?,
            })
        })
        .collect();
    if !routers.is_empty() && router.peers.replace(routers) {
        router.select_members();
    }
}

fn apply_leaving<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    index: u64,
    hosts: &[Host],
) {
    let is_leaving =
        |host: &&Host| host.role == HostRole::BackendServer && host.state == HostState::Leaving;
    let names = hosts
        .iter()
        .filter(is_leaving)
        .map(|host| host.name.clone())
        .collect();
    // Only a few routers watch the list, so they notify the affected agents immediately.
    for name in router.leaving.replace(index, names) {
        notify_agent(router, &name);
    }
}

fn notify_agent<S: Store + HostList, C: Clock>(router: &Arc<Router<S, C>>, name: &str) {
    let Some(server) = router.config.fleet().backend_server(name).cloned() else {
        return;
    };
    let (is_leaving, host_list_index) = router.leaving.contains_with_index(name);
    let poll = Poll {
        revision: router.config.revision().0,
        view: None,
        is_leaving,
        host_list_index,
    };
    let router = router.clone();
    router.tasks.clone().spawn(async move {
        let req = Request::Poll(poll);
        let sent = router
            .control
            .call(server.control_address, req, NOTIFY_TIMEOUT)
            .await;
        if let Err(e) = sent {
            log::debug!(step = e.step, peer = e.peer; "{e}");
        }
    });
}

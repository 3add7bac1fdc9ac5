//! Synchronization of the configuration with the platform's store.

use std::sync::Arc;
use std::time::Duration;

use cactusbarrow_net::Clock;
use cactusbarrow_platform::{ConfigReader, HostList, Store};

use crate::hosts::jitter;
use crate::router::Router;

const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Reads the configuration from the store until the router stops.
///
/// Only a few routers of each zone watch the store, which bounds its load; the others read it at
/// `idle_read_interval` and receive changes by gossip.
pub(crate) async fn sync_config<S: Store + HostList, C: Clock>(router: Arc<Router<S, C>>) {
    let mut reader = ConfigReader::new();
    loop {
        let is_watcher = router.peers.is_watcher(router.cfg.watchers_per_zone);
        let wait = if is_watcher {
            router.cfg.watch_wait
        } else {
            Duration::from_millis(1)
        };
        let pause = match reader.next_delta(&router.store, wait).await {
            Ok(delta) => {
                set_store_reachable(true);
                let is_newer = delta.is_some_and(|delta| router.config.adopt(&delta, "store"));
                if is_watcher && (is_newer || reader.has_read()) {
                    Duration::ZERO
                } else if reader.has_read() {
                    router.cfg.idle_read_interval.mul_f64(jitter())
                } else {
                    RETRY_INTERVAL.mul_f64(jitter())
                }
            }
            Err(e) => {
                set_store_reachable(false);
                log::warn!(step = "read configuration"; "{e}");
                RETRY_INTERVAL.mul_f64(jitter())
            }
        };
        tokio::select! {
            () = router.stop.cancelled() => return,
            () = tokio::time::sleep(pause) => {}
        }
    }
}

fn set_store_reachable(is_reachable: bool) {
    metrics::gauge!("cactusbarrow_store_reachable").set(f64::from(u8::from(is_reachable)));
}

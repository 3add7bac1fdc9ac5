//! A stopping control server replies to the requests that were sent before.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactusbarrow_net::{ControlClient, ControlHandler, ControlServer};
use cactusbarrow_protocol::generated as wire;
use tokio::sync::Barrier;
use tokio_util::sync::CancellationToken;
use wire::control_reply::Reply;
use wire::control_request::Request;

const ROUNDS: u32 = 30;
const CLIENTS: usize = 8;
const HANDLER_TIME: Duration = Duration::from_millis(3);
const TIMEOUT: Duration = Duration::from_millis(500);
/// Difference of the times from the requests to the stop of two rounds.
const ROUND_STEP: Duration = Duration::from_micros(30);

struct SlowHandler;

impl ControlHandler for SlowHandler {
    async fn handle(&self, _: Request) -> Reply {
        tokio::time::sleep(HANDLER_TIME).await;
        Reply::Done(wire::Done {})
    }
}

fn request() -> Request {
    Request::Cancel(wire::CancelAttempt::default())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_that_were_sent_before_a_stop_are_replied_to() {
    let mut lost = 0;
    for round in 0..ROUNDS {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = ControlServer::bind(any_port).await.expect("listen");
        let addr = server.local_addr();
        let handler = Arc::new(SlowHandler);
        let stop = CancellationToken::new();
        let served = tokio::spawn(server.serve(handler, stop.clone()));
        let clients: Vec<_> = (0..CLIENTS).map(|_| ControlClient::new()).collect();
        for client in &clients {
            let replied = client.call(addr, request(), 10 * TIMEOUT).await;
            assert!(replied.is_ok(), "{replied:?}");
        }
        let begun = Arc::new(Barrier::new(CLIENTS + 1));
        let calls: Vec<_> = clients
            .iter()
            .map(|client| {
                let client = client.clone();
                let begun = begun.clone();
                tokio::spawn(async move {
                    begun.wait().await;
                    client.call(addr, request(), TIMEOUT).await
                })
            })
            .collect();
        begun.wait().await;
        tokio::time::sleep(ROUND_STEP * round).await;
        stop.cancel();
        served.await.expect("the server ends");
        for call in calls {
            lost += usize::from(call.await.expect("the call ends").is_err());
        }
    }
    assert_eq!(lost, 0, "calls without a reply");
}

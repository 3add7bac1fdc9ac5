//! Each request ends in one of few ways, also if the task that serves it fails.

mod common;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use cactusbarrow_adapter_standins::Fault;
use common::{TestCluster, eventually, raw_head, read_response};
use metrics::{
    Counter, CounterFn, Gauge, Histogram, Key, KeyName, Metadata, Recorder, SharedString, Unit,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

type Counts = Arc<Mutex<BTreeMap<String, u64>>>;

/// Counts how callers' requests end, and panics when a certain metric is recorded.
#[derive(Debug, Default)]
struct EndRecorder {
    ends: Counts,
    panics_at: Mutex<Option<&'static str>>,
}

impl EndRecorder {
    /// Has the next record of a metric panic.
    fn panic_at(&self, metric: &'static str) {
        *self.panics_at.lock().expect("not poisoned") = Some(metric);
    }

    fn panic_if_due(&self, key: &Key) {
        let mut panics_at = self.panics_at.lock().expect("not poisoned");
        let is_due = panics_at.is_some_and(|metric| metric == key.name());
        if is_due {
            *panics_at = None;
            drop(panics_at);
            panic!("emulated failure");
        }
    }

    fn ended(&self, end: &str) -> u64 {
        let ends = self.ends.lock().expect("not poisoned");
        ends.get(end).copied().unwrap_or(0)
    }
}

struct EndCounter {
    ends: Counts,
    end: String,
}

impl CounterFn for EndCounter {
    fn increment(&self, value: u64) {
        let mut ends = self.ends.lock().expect("not poisoned");
        *ends.entry(self.end.clone()).or_default() += value;
    }

    fn absolute(&self, _value: u64) {}
}

impl Recorder for EndRecorder {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        self.panic_if_due(key);
        let label = |name| {
            let label = key.labels().find(|label| label.key() == name);
            label.map(|label| label.value().to_owned())
        };
        if key.name() != "gateway_requests_ended_total"
            || label("listener").as_deref() != Some("callers")
        {
            return Counter::noop();
        }
        Counter::from_arc(Arc::new(EndCounter {
            ends: self.ends.clone(),
            end: label("end").expect("the counter has a label"),
        }))
    }

    fn register_gauge(&self, _: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::noop()
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> Histogram {
        self.panic_if_due(key);
        Histogram::noop()
    }
}

fn request(method: &str, id: &str, path: &str) -> Vec<u8> {
    raw_head(method, id, path, "content-length: 0\r\n")
}

/// A handler that panicked closed the connection without a response.
#[tokio::test]
async fn request_whose_handler_panics_is_answered() {
    let recorder = EndRecorder::default();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let cluster = TestCluster::start(0).await;
    let gateway = cluster.one_gateway().await;
    let mut conn = TcpStream::connect(gateway.addr).await.expect("connect");
    recorder.panic_at("gateway_call_seconds");
    for status in [502, 200] {
        let req = request("GET", "called", "/read/1");
        conn.write_all(&req).await.expect("send a request");
        let res = read_response(&mut conn).await.expect("a response");
        assert_eq!(res.status, status);
    }
    assert_eq!(
        (recorder.ended("refused"), recorder.ended("answered")),
        (1, 1)
    );
}

/// A stream whose task panicked looked complete.
#[tokio::test]
async fn stream_whose_task_panics_does_not_look_complete() {
    let recorder = EndRecorder::default();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let cluster = TestCluster::start(2).await;
    let gateway = cluster.one_gateway().await;
    let mut conn = TcpStream::connect(gateway.addr).await.expect("connect");
    recorder.panic_at("gateway_generation_seconds");
    let req = request("POST", "streamed", "/stream/1");
    conn.write_all(&req).await.expect("send a request");
    let mut received = Vec::new();
    // The connection may be reset.
    let _ = conn.read_to_end(&mut received).await;
    assert!(received.starts_with(b"HTTP/1.1 200"));
    assert!(
        !received.ends_with(b"0\r\n\r\n"),
        "the stream looks complete"
    );
    assert_eq!(recorder.ended("lost"), 1);
}

#[tokio::test]
async fn requests_count_by_how_they_end() {
    let recorder = EndRecorder::default();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let cluster = TestCluster::start(1).await;
    let gateway = cluster.one_gateway().await;
    let mut conn = TcpStream::connect(gateway.addr).await.expect("connect");
    for (method, path) in [("GET", "/read/1"), ("HEAD", "/read/1"), ("GET", "/none/1")] {
        let req = request(method, "short", path);
        conn.write_all(&req).await.expect("send a request");
        if method != "HEAD" {
            read_response(&mut conn).await.expect("a response");
            continue;
        }
        let count = conn.read(&mut [0; 4_096]).await.expect("a response");
        assert!(count > 0);
    }
    assert_eq!(
        (recorder.ended("answered"), recorder.ended("refused")),
        (2, 1)
    );
    // An engine that sends no report would get no stream.
    cluster.engines[0].set_fault(Some(Fault::Stall));
    let req = request("POST", "left", "/stream/1");
    conn.write_all(&req).await.expect("send a request");
    let count = conn.read(&mut [0; 4_096]).await.expect("a response");
    assert!(count > 0);
    drop(conn);
    eventually("the end is counted", || recorder.ended("caller_gone") == 1).await;
    assert_eq!(recorder.ended("lost"), 0);
}

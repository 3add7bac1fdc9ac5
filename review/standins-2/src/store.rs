//! Stand-in for the platform's metadata store, as its page describes it.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Head, read_body, read_head, respond};
use crate::json::{Json, base64, quote};

/// Limits of one page of `kv-range`: "at most about 500 items or 1 MB".
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    at: Instant,
    revision: u64,
    json: String,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    /// Revision up to which the history was dropped.
    dropped: u64,
    next_lease: u64,
    /// Whether it turns all calls away.
    is_busy: bool,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    history: Duration,
}

impl Store {
    /// Starts an empty store that keeps its history for `history`.
    pub fn start(ip: Ipv4Addr, history: Duration) -> Self {
        let listener = crate::listen(ip);
        let store = Self {
            addr: listener.local_addr().expect("an address"),
            state: Arc::new((
                Mutex::new(State {
                    revision: 1,
                    items: BTreeMap::new(),
                    history: Vec::new(),
                    dropped: 0,
                    next_lease: 1,
                    is_busy: false,
                }),
                Condvar::new(),
            )),
            history,
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key, as the operator or an engine does; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let mut state = self.state.0.lock().expect("the store");
        state.revision += 1;
        write(&mut state, key, base64(value), 0);
        let revision = state.revision;
        self.state.1.notify_all();
        revision
    }

    /// Writes a key unless it holds this value; engines repeat their entries so.
    pub fn keep(&self, key: &str, value: &[u8]) {
        let encoded = base64(value);
        let is_same = {
            let state = self.state.0.lock().expect("the store");
            state
                .items
                .get(key)
                .is_some_and(|item| item.value == encoded)
        };
        if !is_same {
            self.put(key, value);
        }
    }

    /// Deletes a key.
    pub fn delete(&self, key: &str) {
        let mut state = self.state.0.lock().expect("the store");
        state.revision += 1;
        delete(&mut state, key);
        self.state.1.notify_all();
    }

    /// Has the store turn all calls away with 503, or serve them again.
    pub fn set_busy(&self, is_busy: bool) {
        self.state.0.lock().expect("the store").is_busy = is_busy;
        self.state.1.notify_all();
    }

    fn is_busy(&self) -> bool {
        self.state.0.lock().expect("the store").is_busy
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a connection");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head, false) else {
                return;
            };
            let (status, body) = if self.is_busy() {
                ("503 Service Unavailable", "{}".to_owned())
            } else {
                self.answer(&head, &body)
            };
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if respond(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (&'static str, String) {
        match (head.method(), head.path()) {
            ("GET", "/kv-key") => self.key(head),
            ("GET", "/kv-range") => self.range(head),
            ("GET", "/kv-watch") => self.watch(head),
            ("POST", "/kv-txn") => self.transact(body),
            ("POST", "/kv-lease") => {
                let mut state = self.state.0.lock().expect("the store");
                state.next_lease += 1;
                let lease = state.next_lease;
                ("200 OK", format!("{{\"lease\":{lease},\"ttlMs\":600000}}"))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn key(&self, head: &Head) -> (&'static str, String) {
        let key = head.param("key").unwrap_or_default();
        let state = self.state.0.lock().expect("the store");
        match state.items.get(&key) {
            Some(item) => {
                let mut json = item_json(&key, item);
                json.pop();
                (
                    "200 OK",
                    format!("{json},\"storeRevision\":{}}}", state.revision),
                )
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, head: &Head) -> (&'static str, String) {
        let prefix = head.param("prefix").unwrap_or_default();
        let after = head.param("after");
        let state = self.state.0.lock().expect("the store");
        let mut items: Vec<String> = Vec::new();
        let mut bytes = 0;
        let mut is_truncated = false;
        for (key, item) in &state.items {
            if !key.starts_with(&prefix) || after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() == PAGE_ITEMS || bytes >= PAGE_BYTES {
                is_truncated = true;
                break;
            }
            let json = item_json(key, item);
            bytes += json.len();
            items.push(json);
        }
        let items = items.join(",");
        let revision = state.revision;
        let body = format!(
            "{{\"items\":[{items}],\"truncated\":{is_truncated},\"storeRevision\":{revision}}}"
        );
        ("200 OK", body)
    }

    fn watch(&self, head: &Head) -> (&'static str, String) {
        let number = |name| {
            head.param(name)
                .and_then(|n| n.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let prefix = head.param("prefix").unwrap_or_default();
        let after = number("after");
        let deadline = Instant::now() + Duration::from_millis(number("waitMs"));
        let mut state = self.state.0.lock().expect("the store");
        loop {
            if state.is_busy {
                return ("503 Service Unavailable", "{}".to_owned());
            }
            self.drop_old_history(&mut state);
            if after < state.dropped || after > state.revision {
                return ("410 Gone", "{}".to_owned());
            }
            let events: Vec<&str> = state
                .history
                .iter()
                .filter(|event| event.revision > after)
                .filter(|event| event.json.starts_with(&format!("{{\"key\":\"{prefix}")))
                .map(|event| event.json.as_str())
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let revision = state.revision;
                let body = format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}");
                return ("200 OK", body);
            }
            state = self.state.1.wait_timeout(state, left).expect("the store").0;
        }
    }

    fn drop_old_history(&self, state: &mut State) {
        let is_old = |event: &Event| event.at.elapsed() > self.history;
        let dropped = state
            .history
            .iter()
            .take_while(|event| is_old(event))
            .count();
        if let Some(last) = state.history.drain(..dropped).last() {
            state.dropped = last.revision;
        }
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        let text = String::from_utf8_lossy(body);
        let Some(txn) = Json::parse(&text) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let list = |name: &str| txn.get(name).map(Json::list).unwrap_or_default().to_vec();
        let mut state = self.state.0.lock().expect("the store");
        let rows = list("precondition");
        let key_of = |row: &Json| row.get("key").and_then(Json::text).unwrap_or("").to_owned();
        let holds = |row: &Json| {
            let revision = state
                .items
                .get(&key_of(row))
                .map_or(0, |item| item.revision);
            row.get("revision").and_then(Json::number) == Some(revision)
        };
        if !rows.iter().all(holds) {
            let items = rows.iter().filter_map(|row| {
                let key = key_of(row);
                state.items.get(&key).map(|item| item_json(&key, item))
            });
            let items = items.collect::<Vec<_>>().join(",");
            return (
                "412 Precondition Failed",
                format!("{{\"items\":[{items}]}}"),
            );
        }
        state.revision += 1;
        for put in list("puts") {
            let value = put
                .get("value")
                .and_then(Json::text)
                .unwrap_or("")
                .to_owned();
            let lease = put.get("lease").and_then(Json::number).unwrap_or(0);
            write(&mut state, &key_of(&put), value, lease);
        }
        for key in list("deletes") {
            delete(&mut state, key.text().unwrap_or(""));
        }
        let revision = state.revision;
        self.state.1.notify_all();
        ("200 OK", format!("{{\"revision\":{revision}}}"))
    }
}

fn write(state: &mut State, key: &str, value: String, lease: u64) {
    let revision = state.revision;
    let created = state.items.get(key).map_or(revision, |item| item.created);
    let item = Item {
        value,
        revision,
        created,
        lease,
    };
    let json = item_json(key, &item);
    state.items.insert(key.to_owned(), item);
    state.history.push(Event {
        at: Instant::now(),
        revision,
        json,
    });
}

fn delete(state: &mut State, key: &str) {
    if state.items.remove(key).is_some() {
        let revision = state.revision;
        let json = format!(
            "{{\"key\":{},\"revision\":{revision},\"tombstone\":true}}",
            quote(key)
        );
        state.history.push(Event {
            at: Instant::now(),
            revision,
            json,
        });
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"createRev\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

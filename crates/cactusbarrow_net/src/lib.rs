//! Transport shared by every process: HTTP servers and clients, and control messages.
//!
//! [`serve`] and [`HttpClient`] carry requests and streams over hyper;
//! [`ControlServer`] and [`ControlClient`] carry control messages over nng.

#![warn(missing_docs)]

mod accept;
mod blocked_writes;
mod body;
mod catch_panic;
mod clock;
mod connection_limit;
mod control_client;
mod control_relay;
mod control_server;
mod cut_guard;
mod drain;
mod error;
mod event_splitter;
mod framing;
mod holding;
mod http_client;
mod kept_connection;
mod linger;
mod memory_budget;
mod process_memory;
mod request_body;
mod request_holding;
mod server;
mod server_connection;
mod sse;
mod timed_body;
mod unframed_body;

pub use accept::accept_until;
pub use blocked_writes::BlockedWrites;
pub use body::{Body, BodyError, BodyReceiver, BodySender, collect_limited};
pub use catch_panic::{Panicked, catch_panic};
pub use clock::{Clock, SystemClock, unix_seconds};
pub use connection_limit::ConnectionLimit;
pub use control_client::ControlClient;
pub use control_server::{ControlHandler, ControlServer};
pub use cut_guard::CutGuard;
pub use drain::{ConnectionUse, has_unread_data, serve_until_closed};
pub use error::NetError;
pub use event_splitter::{EventSplitter, RawEvent};
pub use framing::{BodyFraming, FramingError};
pub use holding::Holding;
pub use http_client::{HttpClient, HttpVersion, MAX_READ_BUFFER_BYTES};
pub use kept_connection::{CloseCause, KeptConnection};
pub use linger::Linger;
pub use memory_budget::{HoldingKey, ListenerKey, MemoryBudget};
pub use process_memory::{CollectedBody, HeldBody, ProcessMemory};
pub use request_body::{RequestBody, UnreadBody};
pub use request_holding::RequestHolding;
pub use server::{PeerAddr, ServeConfig, listen, serve};
pub use sse::{SseDecoder, SseError, SseEvent};
pub use timed_body::TimedBody;
pub use unframed_body::UnframedBody;

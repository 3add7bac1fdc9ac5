//! Every decision of the routers, gateways and agents, as pure state machines.
//!
//! Each module takes typed events, the time and, where it needs one, a random
//! source, and returns typed actions. Nothing here performs I/O, starts a task
//! or reads a clock, so a test or an experiment drives the code that runs in
//! production.

#![warn(missing_docs)]

mod admission;
mod adopted_config;
mod attempt;
mod backend;
mod backend_fleet;
mod call_plan;
mod claim_page;
mod claim_shard;
mod copy_plan;
mod fingerprint;
mod fleet_config;
mod generation;
mod generation_event;
mod generation_pace;
mod hash;
mod health;
mod heartbeat;
mod ids;
mod limits;
mod load_balancing;
mod operator_config;
mod orders;
mod origin_holders;
mod origin_pages;
mod outcome;
mod part_quarantine;
mod peer_fetches;
mod peer_table;
mod placement;
mod prompt_locations;
mod queue;
mod request_limit;
mod request_parts;
mod resume_plan;
mod retry;
mod retry_after;
mod retry_window;
mod served_versions;
mod server_backoff;
mod server_departure;
mod shutdown;
mod shutdown_retry;
mod software;
mod start_wait;
mod store_availability;
mod store_position;
mod store_watch;
mod stream_end;
mod stream_origins;
mod subset;
mod suspicion;
mod token_buffer;
mod utf8_assembler;
mod version_history;

pub use admission::{AdmissionConfig, AdmissionController, DrainCause, Permit, Work};
pub use adopted_config::{AdoptedConfig, Change, ChangeLog, Delta, DeltaError, Digest};
pub use backend::{Backend, BackendEntry, BackendKey, BackendWork, LossCause, ServerIncarnation};
pub use backend_fleet::{BackendFleet, HeartbeatAction};
pub use call_plan::{CallAction, CallEvent, CallPlan};
pub use claim_page::{ClaimEntry, ClaimPage, ClaimPageError, EntryState};
pub use claim_shard::{
    ClaimAction, ClaimConfig, ClaimEvent, ClaimRequest, ClaimShard, ClaimVerdict,
};
pub use copy_plan::{CopyAction, CopyConfig, CopyPlan};
pub use fingerprint::{FingerprintKey, KeyAgreement, RequestIdentity};
pub use fleet_config::FleetConfig;
pub use generation::Generation;
pub use generation_event::{
    AttemptEnd, Favor, FinishReason, GenerationAction, GenerationConfig, GenerationEvent,
    GenerationStats,
};
pub use generation_pace::{GenerationPace, GenerationSize, GenerationTimes};
pub use hash::{mix, rendezvous_order, rendezvous_weight, stable_hash};
pub use health::{BackendHealth, HealthConfig};
pub use heartbeat::{Heartbeat, HeartbeatConfig, HeartbeatStep};
pub use ids::{AttemptNumber, ClaimNonce, GenerationId, KeyHash, Revision};
pub use limits::{CustomerLimiter, CustomerLimits, LimitRefusal};
pub use load_balancing::{
    BackendLoad, BalancingConfig, BalancingRequest, BalancingStrategy, Candidate, LoadTable,
};
pub use operator_config::{
    CallerLimits, CustomerSpec, OperatorConfig, OperatorConfigCell, RequestKind, ResolveError,
    Route, ServiceName, ServiceSpec,
};
pub use orders::{EngineOrders, LoadOrder, OrderConfig};
pub use origin_holders::{
    ASKED_ORIGIN_HOLDERS, AnnouncedOrigin, ORIGIN_HOLDERS, UnstoredOrigins, origin_holders,
};
pub use origin_pages::{OriginPages, origin_read_interval, origin_write_interval};
pub use outcome::{Outcome, Reason};
pub use part_quarantine::{LostAttempt, PartQuarantine, QuarantineConfig, QuarantineVerdict};
pub use peer_fetches::{PeerFetchConfig, PeerFetches};
pub use peer_table::{PeerConfig, PeerHeartbeat, PeerLoad, PeerTable};
pub use placement::PlacementRequest;
pub use prompt_locations::{PromptId, PromptLocation, PromptLocationConfig, PromptLocations};
pub use queue::{FairQueue, QueueOrder, Ticket};
pub use request_limit::NamedLimit;
pub use request_parts::{IncarnationId, PartId, PartKind, RequestParts};
pub use resume_plan::{AttemptStart, ResumeAction, ResumeEvent, ResumePlan};
pub use retry::{Backoff, RetryBudget};
pub use retry_after::retry_after;
pub use retry_window::{RetryCount, RetryLimits, RetryWindow};
pub use served_versions::{ServedPage, ServedVersion, ServedVersions};
pub use shutdown::{Shutdown, ShutdownConfig};
pub use shutdown_retry::{PeerShutdown, shutdown_retry_after};
pub use software::{SoftwareId, SoftwareVersion};
pub use start_wait::start_wait;
pub use store_availability::{EndedOutage, StoreAvailability, StoreAvailabilityConfig};
pub use store_position::{StoreEra, StorePosition};
pub use store_watch::{StoreStatus, StoreWatchConfig, is_watcher};
pub use stream_end::{AttemptStreamEnd, StreamEnd};
pub use stream_origins::{OriginConfig, ServiceId, StreamId, StreamOrigin, StreamOrigins};
pub use subset::{SubsetCandidate, SubsetConfig, select_subset};
pub use suspicion::{SuspicionConfig, SuspicionTimeouts};
pub use token_buffer::TokenBuffer;
pub use utf8_assembler::Utf8Assembler;
pub use version_history::VersionHistory;

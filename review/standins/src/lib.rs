//! Stand-ins and helpers of the review's scripts: gateways as processes, engines, callers, and the
//! platform's load balancer.

mod balancer;
mod caller;
mod engine;
mod gateway;
mod http1;
mod link;
mod record;

pub use balancer::Balancer;
pub use caller::{Answer, Call, send};
pub use engine::{Engine, EngineConfig, Run};
pub use gateway::{GatewayProcess, gateway_ip, workdir};
pub use link::Link;
pub use record::{Record, Verdict, exit_with, has_trouble};

//! Handling of control messages from routers.

use std::sync::Arc;

use cactusbarrow_net::{Clock, ControlHandler};
use cactusbarrow_policy::{AttemptNumber, DrainCause, GenerationId, Revision};
use cactusbarrow_protocol::generated as wire;
use wire::control_reply::Reply;
use wire::control_request::Request;

use crate::agent::Agent;

/// Handles control messages for an agent.
#[derive(Debug)]
pub(crate) struct AgentControl<C: Clock>(pub(crate) Arc<Agent<C>>);

impl<C: Clock> ControlHandler for AgentControl<C> {
    async fn handle(&self, req: Request) -> Reply {
        match req {
            Request::Poll(poll) => Reply::Poll(self.handle_poll(&poll)),
            Request::Cancel(cancel) => {
                self.handle_cancel(&cancel);
                Reply::Done(wire::Done {})
            }
            // Other requests are meant for routers; an agent only acknowledges them.
            _ => Reply::Done(wire::Done {}),
        }
    }
}

impl<C: Clock> AgentControl<C> {
    fn handle_poll(&self, poll: &wire::Poll) -> wire::PollReply {
        let agent = &self.0;
        agent
            .engine_orders()
            .record_router_contact(agent.clock.now());
        if let Some(view) = &poll.view {
            self.adopt_view(view);
        }
        if agent.record_host_list_index(poll.host_list_index) {
            agent.set_draining(DrainCause::HostList, poll.is_leaving);
        }
        let admission = agent.admission();
        let loaded_version = agent
            .engine_orders()
            .loaded()
            .unwrap_or_default()
            .to_owned();
        wire::PollReply {
            revision: admission.revision().0,
            in_flight: admission.in_flight() as u32,
            draining: admission.is_draining(),
            engine_alive: agent.is_backend_alive(),
            backend_server: agent.cfg.name.clone(),
            loaded_version,
        }
    }

    fn adopt_view(&self, view: &wire::AgentView) {
        let agent = &self.0;
        if view.backend_server != agent.cfg.name {
            log::warn!(
                step = "adopt view",
                backend_server = agent.cfg.name,
                named = view.backend_server;
                "control message names another backend server; ignoring its view"
            );
            return;
        }
        let revision = Revision(view.revision);
        let version = Some(view.model_version.as_str()).filter(|v| !v.is_empty());
        let limit = view.max_in_flight as usize;
        let is_adopted = agent
            .admission()
            .adopt(revision, limit, view.draining, version);
        if !is_adopted {
            return;
        }
        agent.update_drain_start();
        agent.revisions.send_replace(revision);
        if let Some(version) = version {
            let now = agent.clock.now();
            let name = &agent.cfg.name;
            agent
                .engine_orders()
                .set_target(version, revision, name, view.version_servers, now);
        }
        log::info!(backend_server = agent.cfg.name, revision = revision.0; "configuration adopted");
    }

    fn handle_cancel(&self, cancel: &wire::CancelAttempt) {
        let Some(id) = GenerationId::from_slice(&cancel.generation) else {
            return;
        };
        let attempt = AttemptNumber(cancel.attempt);
        let now = self.0.clock.now();
        self.0.admission().fence_attempt(id, attempt, now);
        self.0.generations.cancel(id, attempt);
    }
}

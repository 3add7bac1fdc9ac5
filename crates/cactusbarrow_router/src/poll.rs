//! Polls of agents: each sends configuration changes to an agent and returns its load.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cactusbarrow_document::Fleet;
use cactusbarrow_net::Clock;
use cactusbarrow_platform::{HostList, Store};
use cactusbarrow_policy::{BackendLoad, Revision};
use cactusbarrow_protocol::generated::control_reply::Reply;
use cactusbarrow_protocol::generated::control_request::Request;
use cactusbarrow_protocol::generated::{AgentView, Poll, PollReply};

use crate::members::{MemberServer, Members};
use crate::router::Router;

const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a change of the configuration, so that several changes are sent in one poll.
const CHANGE_COALESCING_DELAY: Duration = Duration::from_millis(50);

/// Polls the members in turn at a bounded rate, until the router stops.
///
/// A change of a member's configuration is sent to its agent without waiting for its turn.
pub(crate) async fn poll_agents<S: Store + HostList, C: Clock>(router: Arc<Router<S, C>>) {
    let mut fleet_rx = router.config.subscribe();
    let mut sent_revisions: HashMap<String, Revision> = HashMap::new();
    let interval = Duration::from_secs_f64(1.0 / router.cfg.polls_per_second);
    let mut next = 0;
    let mut last_backend_change = Revision(0);
    let mut last_group_change = Revision(0);
    loop {
        tokio::select! {
            () = router.stop.cancelled() => return,
            changed = fleet_rx.changed() => {
                if changed.is_err() {
                    return;
                }
                tokio::time::sleep(CHANGE_COALESCING_DELAY).await;
                let fleet = fleet_rx.borrow_and_update().clone();
                if fleet.last_backend_change() == last_backend_change {
                    continue;
                }
                last_backend_change = fleet.last_backend_change();
                if fleet.last_group_change() == last_group_change {
                    router.refresh_members();
                } else {
                    last_group_change = fleet.last_group_change();
                    router.select_members();
                }
                let members = router.members();
                sent_revisions.retain(|name, _| members.all().any(|m| m.name() == name));
                for member in members.all() {
                    if sent_revisions.get(member.name()) != Some(&member.revision) {
                        sent_revisions.insert(member.name().to_owned(), member.revision);
                        spawn_poll(&router, member);
                    }
                }
            }
            () = tokio::time::sleep(interval) => {
                let members = router.members();
                let count = members.all().count();
                if count > 0 {
                    next = (next + 1) % count;
                    if let Some(member) = members.all().nth(next) {
                        spawn_poll(&router, member);
                    }
                }
            }
        }
    }
}

fn spawn_poll<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    member: &Arc<MemberServer>,
) {
    let router = router.clone();
    let member = member.clone();
    router
        .tasks
        .clone()
        .spawn(async move { poll_agent(&router, &member).await });
}

async fn poll_agent<S: Store + HostList, C: Clock>(router: &Router<S, C>, member: &MemberServer) {
    let known_revision = router.agent_revision(member.name());
    let reply = send_poll(router, member, known_revision).await;
    let Some(reply) = reply else {
        router
            .load()
            .record_failure(member.name(), router.clock.now());
        return;
    };
    record_reply(router, member, &reply);
    if Revision(reply.revision) < member.revision && known_revision >= member.revision {
        // The agent has restarted and lost its configuration, so it is sent again.
        if let Some(reply) = send_poll(router, member, Revision(reply.revision)).await {
            record_reply(router, member, &reply);
        }
    }
}

async fn send_poll<S: Store + HostList, C: Clock>(
    router: &Router<S, C>,
    member: &MemberServer,
    known_revision: Revision,
) -> Option<PollReply> {
    let (is_leaving, host_list_index) = router.leaving.contains_with_index(member.name());
    let fleet = router.config.fleet();
    let poll = Poll {
        revision: fleet.revision().0,
        view: (known_revision < member.revision)
            .then(|| agent_view(&fleet, &router.members(), member)),
        is_leaving,
        host_list_index,
    };
    let reply = router
        .control
        .call(member.control_address(), Request::Poll(poll), POLL_TIMEOUT)
        .await;
    match reply {
        Ok(Reply::Poll(reply)) => Some(reply),
        Ok(_) => None,
        Err(e) => {
            log::debug!(step = "poll agent", peer = e.peer; "{e}");
            None
        }
    }
}

fn record_reply<S: Store + HostList, C: Clock>(
    router: &Router<S, C>,
    member: &MemberServer,
    reply: &PollReply,
) {
    if reply.backend_server != member.name() {
        log::warn!(
            step = "poll agent",
            named = reply.backend_server,
            expected = member.name();
            "another backend server replied at this agent's address"
        );
        return;
    }
    router.set_agent_revision(member.name(), Revision(reply.revision));
    let target_version = member.server.model_version.as_deref().unwrap_or_default();
    let is_loaded = target_version.is_empty() || reply.loaded_version == target_version;
    let load = BackendLoad {
        in_flight: reply.in_flight as usize,
        is_draining: reply.draining,
        is_alive: reply.engine_alive && is_loaded,
    };
    router.load().record_report(member.name(), load);
    router.grant_next(&member.server.service);
}

fn agent_view(fleet: &Fleet, members: &Members, member: &MemberServer) -> AgentView {
    let server = &member.server;
    let version = server
        .model_version
        .as_deref()
        .and_then(|name| fleet.model_version(name));
    AgentView {
        backend_server: server.name.clone(),
        revision: member.revision.0,
        max_in_flight: server.max_in_flight,
        draining: server.draining,
        model_version: server.model_version.clone().unwrap_or_default(),
        model: version.map_or_else(String::new, |v| v.model.clone()),
        weights: version.map_or_else(String::new, |v| v.weights.clone()),
        checks_fencing: server.checks_fencing,
        adapters: version.map_or_else(Vec::new, |v| v.adapters.clone()),
        version_servers: server
            .model_version
            .as_deref()
            .map_or(0, |version| members.version_servers(version)),
    }
}

//! Backend servers: drains, losses, and placement under the worst load.

mod common;

use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use cactusbarrow_policy::{
    BackendEntry, BackendFleet, BackendKey, BackendWork, FleetConfig, HeartbeatAction, LossCause,
    PeerLoad, PlacementRequest, SoftwareVersion, stable_hash,
};
use common::fixed_seed_config;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SERVICE: &str = "draft";
const CAPACITY: u64 = 55_000;
const PROMPT: BackendWork = BackendWork {
    prompt_tokens: 5_000,
    memory_tokens: 6_500,
};

/// Time for which entries that vanished stay usable.
const GRACE: Duration = Duration::from_millis(1_800);

fn entry(i: usize, zones: usize) -> BackendEntry {
    BackendEntry {
        instance: format!("i-{i}").into(),
        service: SERVICE.into(),
        address: SocketAddr::from((Ipv4Addr::new(10, 0, 1, i as u8), 8_000)),
        zone: format!("zone-{}", i % zones).into(),
        slots: 32,
        software: SoftwareVersion("v1".into()),
        is_draining: false,
        incarnation: 1,
    }
}

fn fleet(count: usize, zones: usize, now: Instant) -> BackendFleet {
    let mut fleet = BackendFleet::new(FleetConfig::default());
    for i in 0..count {
        assert!(fleet.record_entry(entry(i, zones), now));
    }
    fleet
}

fn rng(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}

fn choose(fleet: &BackendFleet, now: Instant, rng: &mut StdRng) -> Option<BackendKey> {
    choose_with_cached_prompt(fleet, None, now, rng)
}

fn choose_with_cached_prompt(
    fleet: &BackendFleet,
    cached_at: Option<u64>,
    now: Instant,
    rng: &mut StdRng,
) -> Option<BackendKey> {
    let placement = PlacementRequest {
        service: SERVICE,
        capacity: CAPACITY,
        work: PROMPT,
        excluded: &[],
        cached_at,
        software: None,
        excluded_software: &[],
    };
    fleet.choose_engine(&placement, now, rng)
}

fn instance(fleet: &BackendFleet, key: BackendKey) -> String {
    let backend = fleet.get(key).expect("the key was just chosen");
    backend.entry.instance.to_string()
}

#[test]
fn draining_or_removed_engine_gets_no_work() {
    let now = Instant::now();
    let mut fleet = fleet(2, 1, now);
    let draining = BackendEntry {
        is_draining: true,
        ..entry(0, 1)
    };
    fleet.record_entry(draining, now);
    for seed in 0..50 {
        let key = choose(&fleet, now, &mut rng(seed)).expect("one engine is left");
        assert_eq!(instance(&fleet, key), "i-1");
    }
    fleet.remove_instance("i-1");
    assert_eq!(choose(&fleet, now, &mut rng(0)), None);
}

#[test]
fn entry_lost_in_store_outage_stays_usable_for_grace_period() {
    let now = Instant::now();
    let mut fleet = fleet(1, 1, now);
    assert_eq!(fleet.missing_instances().count(), 0);
    assert!(fleet.record_missing("i-0", now + GRACE));
    assert_eq!(fleet.missing_instances().count(), 1);
    assert!(choose(&fleet, now, &mut rng(0)).is_some());
    assert_eq!(
        choose(&fleet, now + GRACE, &mut rng(0)),
        None,
        "the grace period is over"
    );
    assert_eq!(fleet.expire_missing(false, now + GRACE).len(), 1);
    fleet.record_entry(entry(0, 1), now + GRACE);
    assert!(
        choose(&fleet, now + GRACE, &mut rng(0)).is_some(),
        "it is listed again"
    );
}

#[test]
fn new_instance_at_an_address_replaces_the_old_one() {
    let now = Instant::now();
    let mut fleet = fleet(1, 1, now);
    let next = BackendEntry {
        instance: "i-next".into(),
        ..entry(0, 1)
    };
    fleet.record_entry(next, now);
    for seed in 0..50 {
        let key = choose(&fleet, now, &mut rng(seed)).expect("the new instance is there");
        assert_eq!(instance(&fleet, key), "i-next");
    }
    assert_eq!(
        fleet.take_unreliable().len(),
        1,
        "copies held by the old instance are unreliable"
    );
}

/// Guards against a sound engine that is never used again: the store returns to a copy with the
/// entry of the instance that had the engine's address before.
#[test]
fn engine_is_used_again_after_its_predecessor_was_listed_again() {
    for is_missing in [false, true] {
        let mut now = Instant::now();
        let mut fleet = fleet(1, 1, now);
        let predecessor = BackendEntry {
            instance: "i-before".into(),
            ..entry(0, 1)
        };
        let engine = fleet.key_of("i-0").expect("it is listed");
        if is_missing {
            fleet.record_missing("i-0", now + GRACE);
        }
        fleet.record_entry(predecessor, now);
        fleet.record_entry(entry(0, 1), now);
        let before = fleet.key_of("i-before").expect("it is listed");
        fleet.record_loss(before, LossCause::Replaced, now);
        assert!(!fleet.is_gone(engine, now), "its work goes on");
        now += Duration::from_millis(20);
        let actions = fleet.poll_heartbeats(now);
        assert_eq!(actions, [HeartbeatAction::Identify(engine)]);
        fleet.record_alive(engine, now);
        assert_eq!(choose(&fleet, now, &mut rng(0)), Some(engine));
    }
}

#[test]
fn new_incarnation_of_an_engine_gets_a_new_key() {
    let now = Instant::now();
    let mut fleet = fleet(1, 1, now);
    let before = choose(&fleet, now, &mut rng(0)).expect("one engine");
    fleet.start_generation(before, PROMPT, now);
    let again = BackendEntry {
        incarnation: 2,
        ..entry(0, 1)
    };
    assert!(fleet.record_entry(again, now));
    let after = choose(&fleet, now, &mut rng(0)).expect("one engine");
    assert_ne!(before, after);
}

#[test]
fn lost_engine_is_avoided_until_it_reports_its_instance() {
    let now = Instant::now();
    let mut fleet = fleet(2, 1, now);
    let key = choose(&fleet, now, &mut rng(0)).expect("two engines");
    let lost = instance(&fleet, key);
    assert!(fleet.record_loss(key, LossCause::Silent, now));
    for seed in 0..50 {
        let other = choose(&fleet, now, &mut rng(seed)).expect("one engine is left");
        assert_ne!(instance(&fleet, other), lost);
    }
    let later = now + FleetConfig::default().silent_recheck_delay;
    let actions = fleet.poll_heartbeats(later);
    assert_eq!(actions, [HeartbeatAction::Identify(key)]);
    assert!(fleet.record_alive(key, later));
    let chosen: Vec<_> = (0..50)
        .filter_map(|seed| choose(&fleet, later, &mut rng(seed)))
        .collect();
    assert!(chosen.contains(&key));
}

#[test]
fn silent_engine_is_gone_only_after_its_entry_would_have_expired() {
    let now = Instant::now();
    let mut fleet = fleet(1, 1, now);
    let key = choose(&fleet, now, &mut rng(0)).expect("one engine");
    fleet.record_loss(key, LossCause::Silent, now);
    assert!(fleet.is_lost(key) && !fleet.is_up(key));
    let gone_after = FleetConfig::default().gone_after;
    assert!(!fleet.is_gone(key, now + gone_after / 2));
    assert!(fleet.is_gone(key, now + gone_after));
    fleet.record_alive(key, now + gone_after);
    assert!(!fleet.is_gone(key, now + gone_after) && fleet.is_up(key));
}

/// Load pattern: connects to the only engine time out again and again.
#[test]
fn listed_engine_may_recover_until_it_has_been_lost_for_long() {
    let now = Instant::now();
    let mut fleet = fleet(1, 1, now);
    let key = fleet.key_of("i-0").expect("one engine");
    let gone_after = FleetConfig::default().gone_after;
    assert!(fleet.may_recover(SERVICE, None, &[], now + gone_after * 2));
    assert!(!fleet.may_recover("other", None, &[], now));
    assert!(!fleet.may_recover(SERVICE, None, &[key], now));
    for step in 0..4 {
        let at = now + gone_after / 4 * step;
        assert!(fleet.may_recover(SERVICE, None, &[], at));
        fleet.start_generation(key, PROMPT, at);
        fleet.record_loss(key, LossCause::Unreachable, at);
        fleet.end_generation(key, PROMPT, false);
    }
    assert!(!fleet.may_recover(SERVICE, None, &[], now + gone_after));
    fleet.record_alive(key, now + gone_after);
    assert!(fleet.may_recover(SERVICE, None, &[], now + gone_after));
    fleet.remove_instance("i-0");
    assert!(!fleet.may_recover(SERVICE, None, &[], now + gone_after));
}

/// A draining engine accepts no connections and completes its streams.
#[test]
fn only_an_engine_that_is_not_leaving_has_ended_when_it_refuses_a_probe() {
    let now = Instant::now();
    let fleet_with = |is_draining| {
        let mut fleet = fleet(1, 1, now);
        let key = fleet.key_of("i-0").expect("one engine");
        fleet.start_generation(key, PROMPT, now);
        let entry = BackendEntry {
            is_draining,
            ..entry(0, 1)
        };
        fleet.record_entry(entry, now);
        (fleet, key)
    };
    let (fleet, key) = fleet_with(false);
    assert_eq!(fleet.probe_loss_cause(key, true), LossCause::Terminated);
    assert_eq!(fleet.probe_loss_cause(key, false), LossCause::Silent);
    let (mut fleet, key) = fleet_with(true);
    assert_eq!(fleet.probe_loss_cause(key, true), LossCause::Silent);
    fleet.remove_instance("i-0");
    assert_eq!(fleet.probe_loss_cause(key, true), LossCause::Silent);
}

/// Guards against taking a busy engine for gone: its health check waits for a slot, its load report
/// does not.
#[test]
fn lost_engine_with_running_work_is_still_asked_for_its_report() {
    let now = Instant::now();
    for (cause, is_draining) in [
        (LossCause::Silent, false),
        (LossCause::Unreachable, false),
        (LossCause::Silent, true),
    ] {
        let mut fleet = fleet(1, 1, now);
        let key = choose(&fleet, now, &mut rng(0)).expect("one engine");
        fleet.start_generation(key, PROMPT, now);
        let entry = BackendEntry {
            is_draining,
            ..entry(0, 1)
        };
        fleet.record_entry(entry, now);
        fleet.record_loss(key, cause, now);
        let gone_after = FleetConfig::default().gone_after;
        let ticks = (gone_after.as_millis() / 20) as u32;
        let probes = (1..ticks)
            .flat_map(|tick| fleet.poll_heartbeats(now + Duration::from_millis(20) * tick))
            .filter(|action| *action == HeartbeatAction::Probe(key))
            .count();
        assert!(probes >= 3, "{cause:?}, draining {is_draining}: {probes}");
        fleet.record_report(key, now + gone_after / 2);
        assert!(fleet.is_lost(key), "a report names no instance");
        assert!(!fleet.is_gone(key, now + gone_after));
    }
}

#[test]
fn engine_known_to_have_ended_is_gone_at_once_whatever_is_suspected_later() {
    let now = Instant::now();
    for cause in [LossCause::Terminated, LossCause::Replaced] {
        let mut fleet = fleet(1, 1, now);
        let key = choose(&fleet, now, &mut rng(0)).expect("one engine");
        fleet.record_loss(key, cause, now);
        fleet.record_loss(key, LossCause::Unreachable, now);
        assert!(fleet.is_gone(key, now), "{cause:?}");
    }
}

/// Guards against probe traffic to engines that run no generations.
#[test]
fn idle_engines_are_not_probed() {
    let now = Instant::now();
    let mut fleet = fleet(4, 2, now);
    for tick in 1..100_u32 {
        let at = now + Duration::from_millis(20) * tick;
        assert!(fleet.poll_heartbeats(at).is_empty());
    }
}

/// Load pattern: some engines respond to every prompt with an error at once, so they look
/// idle and would attract all prompts.
#[test]
fn fast_failing_engine_does_not_attract_all_prompts() {
    let now = Instant::now();
    let mut fleet = fleet(20, 4, now);
    let mut rng = rng(1);
    let mut failed = 0;
    let mut running = std::collections::VecDeque::new();
    for i in 0..200_u32 {
        let at = now + Duration::from_millis(200) * i;
        while let Some((end, key)) = running.front().copied()
            && end <= at
        {
            fleet.end_generation(key, PROMPT, true);
            running.pop_front();
        }
        let key = choose(&fleet, at, &mut rng).expect("there are engines");
        let is_faulty = ["i-0", "i-1"].contains(&instance(&fleet, key).as_str());
        failed += u32::from(is_faulty);
        fleet.start_generation(key, PROMPT, at);
        fleet.record_result(key, is_faulty, at);
        if is_faulty {
            fleet.end_generation(key, PROMPT, false);
        } else {
            fleet.record_prompt_read(key, PROMPT);
            running.push_back((at + Duration::from_secs(6), key));
        }
    }
    // An even distribution would send a tenth of the prompts to the faulty engines.
    assert!(
        failed <= 10,
        "{failed} of 200 prompts went to faulty engines"
    );
}

/// Places prompts from many gateways in turn; returns the largest number on one engine.
fn max_prompts_per_engine(shares_loads: bool, seed: u64) -> usize {
    const GATEWAYS: usize = 27;
    const PROMPTS: usize = 54;
    let now = Instant::now();
    let mut rng = rng(seed);
    let mut fleets: Vec<_> = (0..GATEWAYS).map(|_| fleet(98, 4, now)).collect();
    for fleet in &mut fleets {
        for i in (0..98).step_by(4) {
            let key = fleet.key_of(&format!("i-{i}")).expect("it is listed");
            fleet.record_loss(key, LossCause::Refused, now);
        }
    }
    let mut at_engine: HashMap<String, usize> = HashMap::new();
    for i in 0..PROMPTS {
        if shares_loads {
            let mut loads: HashMap<u64, PeerLoad> = HashMap::new();
            for (j, fleet) in fleets.iter().enumerate() {
                for load in fleet
                    .own_loads(now)
                    .into_iter()
                    .filter(|_| j != i % GATEWAYS)
                {
                    let sum = loads.entry(load.engine).or_default();
                    sum.generations += load.generations;
                    sum.unread_tokens += load.unread_tokens;
                    sum.memory_tokens += load.memory_tokens;
                }
            }
            fleets[i % GATEWAYS].record_remote_loads(&loads);
        }
        let fleet = &mut fleets[i % GATEWAYS];
        let key = choose(fleet, now, &mut rng).expect("three zones are left");
        *at_engine.entry(instance(fleet, key)).or_default() += 1;
        fleet.start_generation(key, PROMPT, now);
    }
    at_engine.into_values().max().unwrap_or(0)
}

/// Load pattern: a zone of engines fails and many gateways place prompts on the remaining
/// engines.
#[test]
fn gateways_that_share_loads_do_not_choose_the_same_engine() {
    let without_sharing: usize = (0..5).map(|seed| max_prompts_per_engine(false, seed)).sum();
    let with_sharing: usize = (0..5).map(|seed| max_prompts_per_engine(true, seed)).sum();
    assert_eq!(
        with_sharing, 5,
        "54 prompts are spread over 73 engines, one each"
    );
    assert!(
        without_sharing > with_sharing,
        "without shared loads the maxima of 5 runs add up to {without_sharing}"
    );
}

/// Load pattern: memory is scarce because each generation occupies two engines.
#[test]
fn copies_are_spread_over_engines_with_free_memory() {
    let now = Instant::now();
    let mut fleet = fleet(12, 3, now);
    let mut rng = rng(3);
    let mut copies: HashMap<BackendKey, u64> = HashMap::new();
    for _ in 0..24 {
        let engine = choose(&fleet, now, &mut rng).expect("there is room");
        fleet.start_generation(engine, PROMPT, now);
        let holder = fleet
            .choose_copy_holder(engine, CAPACITY, PROMPT, &[engine], now, &mut rng)
            .expect("there is room in another zone");
        let zone = |key| fleet.get(key).map(|b| b.entry.zone.clone());
        assert_ne!(zone(engine), zone(holder));
        fleet.record_copy(holder, PROMPT, true);
        *copies.entry(holder).or_default() += 1;
    }
    let most = copies.values().max().copied().unwrap_or(0);
    assert!(most <= 4, "{most} of 24 copies are at one of 12 engines");
}

#[test]
fn full_engine_is_not_chosen() {
    let now = Instant::now();
    let mut fleet = fleet(1, 1, now);
    let mut placed = 0;
    while let Some(key) = choose(&fleet, now, &mut rng(placed)) {
        fleet.start_generation(key, PROMPT, now);
        placed += 1;
    }
    assert_eq!(
        placed, 7,
        "7 times 6,500 tokens fit into nine tenths of 55,000"
    );
}

#[derive(Clone, Copy, Debug)]
enum Op {
    List(usize, bool, u64),
    Remove(usize),
    Missing(usize),
    Lose,
    Start,
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        (0..6_usize, any::<bool>(), 1..3_u64).prop_map(|(i, d, b)| Op::List(i, d, b)),
        (0..6_usize).prop_map(Op::Remove),
        (0..6_usize).prop_map(Op::Missing),
        Just(Op::Lose),
        Just(Op::Start),
        (0..3_000_u64).prop_map(Op::Wait),
    ]
}

proptest! {
    #![proptest_config(fixed_seed_config(1_000))]

    #[test]
    fn only_listed_instances_get_work(ops in prop::collection::vec(op(), 1..60), seed in any::<u64>()) {
        let mut now = Instant::now();
        let mut rng = rng(seed);
        let mut fleet = BackendFleet::new(FleetConfig::default());
        // Whether each instance may get work, according to the entries alone.
        let mut is_usable = [false; 6];
        for op in ops {
            match op {
                Op::List(i, is_draining, incarnation) => {
                    let listed = BackendEntry { is_draining, incarnation, ..entry(i, 2) };
                    fleet.record_entry(listed, now);
                    is_usable[i] = !is_draining;
                }
                Op::Remove(i) => {
                    fleet.remove_instance(&format!("i-{i}"));
                    is_usable[i] = false;
                }
                Op::Missing(i) => {
                    fleet.record_missing(&format!("i-{i}"), now + GRACE);
                }
                Op::Lose | Op::Start => {
                    if let Some(key) = choose(&fleet, now, &mut rng) {
                        let name = instance(&fleet, key);
                        let i: usize = name[2..].parse().expect("names end in a number");
                        prop_assert!(is_usable[i], "{} was chosen", name);
                        match op {
                            Op::Lose => drop(fleet.record_loss(key, LossCause::Refused, now)),
                            _ => fleet.start_generation(key, PROMPT, now),
                        }
                    }
                }
                Op::Wait(ms) => {
                    now += Duration::from_millis(ms);
                    for expired in fleet.expire_missing(false, now) {
                        let i: usize = expired[2..].parse().expect("names end in a number");
                        is_usable[i] = false;
                    }
                }
            }
        }
    }
}

/// Load pattern: a gateway was killed, and its callers reconnect to others at once. Each is
/// best served by the engine with its prompt, although that engine is not idle.
#[test]
fn reconnecting_caller_is_sent_to_engine_with_its_prompt() {
    let now = Instant::now();
    let mut fleet = fleet(6, 3, now);
    let holder = fleet.key_of("i-4").expect("it is listed");
    let cached_at = Some(stable_hash(b"i-4"));
    fleet.start_generation(holder, PROMPT, now);
    fleet.record_prompt_read(holder, PROMPT);
    assert!(fleet.is_healthy(stable_hash(b"i-4"), now));
    for seed in 0..20 {
        let rng = &mut rng(seed);
        assert_ne!(choose(&fleet, now, rng), Some(holder), "it is not idle");
        assert_eq!(
            choose_with_cached_prompt(&fleet, cached_at, now, rng),
            Some(holder)
        );
    }
    for _ in 0..3 {
        fleet.start_generation(holder, PROMPT, now);
        fleet.record_prompt_read(holder, PROMPT);
    }
    let chosen = choose_with_cached_prompt(&fleet, cached_at, now, &mut rng(0));
    assert_eq!(chosen, Some(holder), "all prompts there have been read");
    for _ in 0..2 {
        fleet.start_generation(holder, PROMPT, now);
    }
    let chosen = choose_with_cached_prompt(&fleet, cached_at, now, &mut rng(0));
    assert_ne!(chosen, Some(holder), "two prompts are being read there");
    fleet.record_loss(holder, LossCause::Refused, now);
    assert!(!fleet.is_healthy(stable_hash(b"i-4"), now));
}

/// Load pattern: many callers reconnect at once, and their gateway asks engines for prompts.
/// In a large fleet it must not exhaust its connections.
#[test]
fn sample_of_healthy_engines_is_bounded() {
    let now = Instant::now();
    let mut fleet = fleet(60, 3, now);
    let lost = fleet.key_of("i-7").expect("it is listed");
    fleet.record_loss(lost, LossCause::Silent, now);
    for seed in 0..20 {
        let drawn = fleet.draw_healthy(SERVICE, 10, now, &mut rng(seed));
        assert_eq!(drawn.len(), 10);
        assert!(drawn.iter().all(|entry| &*entry.instance != "i-7"));
    }
    assert_eq!(fleet.draw_healthy(SERVICE, 100, now, &mut rng(1)).len(), 59);
}

/// Load pattern: engines of a zone restart as other instances during a store outage, so the
/// list still names the old ones. A gateway that sends a request to one learns this at once;
/// if it did not tell its peers, they would all send requests to these engines and
/// exhaust the retry budget.
#[test]
fn peers_avoid_engine_reported_as_replaced() {
    let now = Instant::now();
    let mut first = fleet(6, 3, now);
    let mut second = fleet(6, 3, now);
    for name in ["i-0", "i-3"] {
        let key = first.key_of(name).expect("it is listed");
        first.record_loss(key, LossCause::Replaced, now);
    }
    let reported = first.own_loads(now);
    assert_eq!(reported.iter().filter(|load| load.avoiders > 0).count(), 2);
    let by_engine: HashMap<u64, PeerLoad> =
        reported.iter().map(|load| (load.engine, *load)).collect();
    second.record_remote_loads(&by_engine);
    for seed in 0..50 {
        let key = choose(&second, now, &mut rng(seed)).expect("four engines are left");
        assert!(!["i-0", "i-3"].contains(&instance(&second, key).as_str()));
    }
    first.remove_instance("i-0");
    first.remove_instance("i-3");
    assert!(
        first.own_loads(now).is_empty(),
        "removed instances are not reported"
    );
}

fn entry_with_software(i: usize, software: &str) -> BackendEntry {
    BackendEntry {
        software: SoftwareVersion(software.into()),
        ..entry(i, 2)
    }
}

/// Guards against streams that are continued by an engine of another software version.
#[test]
fn placement_and_copies_keep_to_the_software_version() {
    let now = Instant::now();
    let mut fleet = BackendFleet::new(FleetConfig::default());
    for i in 0..8 {
        let software = if i < 4 { "v1" } else { "v2" };
        fleet.record_entry(entry_with_software(i, software), now);
    }
    let software = SoftwareVersion("v1".into());
    let placement = PlacementRequest {
        service: SERVICE,
        capacity: CAPACITY,
        work: PROMPT,
        excluded: &[],
        cached_at: Some(stable_hash(b"i-5")),
        software: Some(software.id()),
        excluded_software: &[],
    };
    for seed in 0..50 {
        let rng = &mut rng(seed);
        let key = fleet.choose_engine(&placement, now, rng);
        let key = key.expect("engines have the version");
        let holder = fleet.choose_copy_holder(key, CAPACITY, PROMPT, &[key], now, rng);
        for key in [Some(key), holder] {
            let backend = key.and_then(|key| fleet.get(key));
            let backend = backend.expect("engines of both zones have the version");
            assert_eq!(backend.entry.software, software);
        }
    }
    for i in 0..4 {
        fleet.remove_instance(&format!("i-{i}"));
    }
    assert!(!fleet.has_software(SERVICE, software.id(), now));
    assert_eq!(fleet.choose_engine(&placement, now, &mut rng(0)), None);
}

/// Guards against an engine whose software was replaced being taken for the one that began a
/// stream.
#[test]
fn instance_with_changed_software_is_a_new_incarnation() {
    let now = Instant::now();
    let mut fleet = BackendFleet::new(FleetConfig::default());
    fleet.record_entry(entry_with_software(0, "v1"), now);
    let before = fleet.key_of("i-0").expect("it is listed");
    assert!(fleet.record_entry(entry_with_software(0, "v2"), now));
    assert_ne!(fleet.key_of("i-0"), Some(before));
    let v1 = SoftwareVersion("v1".into()).id();
    assert!(!fleet.has_software(SERVICE, v1, now));
}

/// Guards against streams at an engine that has started again at another version, which its entry does not tell yet.
#[test]
fn entry_describes_only_the_incarnation_that_it_states() {
    let entry = entry(0, 1);
    assert!(entry.may_be_of(Some(entry.incarnation)));
    assert!(!entry.may_be_of(Some(entry.incarnation + 1)));
    assert!(entry.may_be_of(None), "the process states none");
    let unstated = BackendEntry {
        incarnation: 0,
        ..entry
    };
    assert!(unstated.may_be_of(Some(7)), "the entry states none");
}

#[test]
fn restarted_engine_is_avoided_only_until_its_entry_arrives() {
    let now = Instant::now();
    let mut fleet = fleet(2, 1, now);
    let restarted = fleet.key_of("i-0").expect("listed");
    fleet.record_loss(restarted, LossCause::Restarted, now);
    for seed in 0..50 {
        let key = choose(&fleet, now, &mut rng(seed)).expect("one engine is left");
        assert_eq!(instance(&fleet, key), "i-1");
    }
    assert!(
        !fleet.is_gone(restarted, now),
        "a report ends no running work"
    );
    let next = BackendEntry {
        incarnation: 2,
        ..entry(0, 1)
    };
    fleet.record_entry(next, now);
    let chosen = (0..50).filter_map(|seed| choose(&fleet, now, &mut rng(seed)));
    let chosen: HashSet<String> = chosen.map(|key| instance(&fleet, key)).collect();
    assert!(chosen.contains("i-0"), "its entry has arrived");
}

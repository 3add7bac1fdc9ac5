//! Load balancing, subsets, limits, retry budgets, engine orders, suspicion and engine health.

mod common;

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use cactusbarrow_policy::{
    BackendHealth, BackendLoad, Backoff, BalancingConfig, BalancingRequest, Candidate,
    CustomerLimiter, CustomerLimits, EngineOrders, HealthConfig, LimitRefusal, LoadTable,
    OrderConfig, RetryBudget, Revision, SubsetCandidate, SubsetConfig, SuspicionConfig,
    SuspicionTimeouts, select_subset,
};
use common::fixed_seed_config;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const REQUEST_LIMIT: usize = 8;

fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|i| format!("{prefix}-{i}")).collect()
}

fn candidates(names: &[String]) -> Vec<Candidate<'_>> {
    names
        .iter()
        .enumerate()
        .map(|(i, name)| Candidate {
            name,
            is_same_zone: i % 2 == 0,
            limit: REQUEST_LIMIT,
        })
        .collect()
}

fn for_prompt(prompt: &[u8]) -> BalancingRequest<'_> {
    BalancingRequest {
        prompt: Some(prompt),
        is_resume: false,
    }
}

proptest! {
    #![proptest_config(fixed_seed_config(500))]

    #[test]
    fn a_choice_is_usable_and_has_room(
        loads in prop::collection::vec((0..12_usize, any::<bool>(), any::<bool>()), 1..20),
        prompt in ".{0,20}",
        seed in any::<u64>(),
    ) {
        let names = names("engine", loads.len());
        let mut table = LoadTable::new();
        for (name, (in_flight, is_draining, is_alive)) in names.iter().zip(&loads) {
            table.record_report(name, BackendLoad {
                in_flight: *in_flight,
                is_draining: *is_draining,
                is_alive: *is_alive,
            });
        }
        let mut rng = StdRng::seed_from_u64(seed);
        let cfg = BalancingConfig::default();
        let now = Instant::now();
        let candidates = candidates(&names);
        let choice = table.choose(&cfg, &candidates, for_prompt(prompt.as_bytes()), now, &mut rng);
        let is_usable = |(in_flight, is_draining, is_alive): &(usize, bool, bool)| {
            *in_flight < REQUEST_LIMIT && !is_draining && *is_alive
        };
        match choice {
            Some(i) => prop_assert!(is_usable(&loads[i])),
            None => prop_assert!(!loads.iter().any(is_usable)),
        }
    }

    #[test]
    fn affinity_keeps_the_load_bounded(prompts in prop::collection::vec(0..3_u8, 40..80)) {
        let names = names("engine", 8);
        let candidates: Vec<Candidate<'_>> = names
            .iter()
            .map(|name| Candidate { name, is_same_zone: true, limit: 64 })
            .collect();
        let mut table = LoadTable::new();
        let mut rng = StdRng::seed_from_u64(1);
        let cfg = BalancingConfig::default();
        for prompt in &prompts {
            let i = table
                .choose(&cfg, &candidates, for_prompt(&[*prompt]), Instant::now(), &mut rng)
                .unwrap();
            table.record_start(&names[i]);
        }
        let most = names.iter().map(|name| table.in_flight(name)).max().unwrap();
        let mean = prompts.len() as f64 / names.len() as f64;
        prop_assert!(most as f64 <= mean * cfg.affinity_bound + 2.0, "{most} of {mean}");
    }

    #[test]
    fn removing_a_backend_adds_at_most_one_other(
        backends in 50..300_usize,
        routers in 2..40_usize,
        removed in any::<prop::sample::Index>(),
    ) {
        let backends = names("engine", backends);
        let routers = names("router", routers);
        let with_group = |names: &[String]| -> Vec<(String, String)> {
            names.iter().map(|n| (n.clone(), "model".to_owned())).collect()
        };
        let select = |backends: &[(String, String)], routers: &[String]| -> HashSet<String> {
            let list: Vec<SubsetCandidate<'_>> = backends
                .iter()
                .map(|(name, group)| SubsetCandidate { name, group })
                .collect();
            let zone: Vec<&str> = routers.iter().map(String::as_str).collect();
            select_subset(&SubsetConfig::default(), &routers[0], &zone, &list)
                .into_iter()
                .map(|i| backends[i].0.clone())
                .collect()
        };
        let all = with_group(&backends);
        let before = select(&all, &routers);
        let removed = removed.index(all.len());
        let mut remaining = all.clone();
        let (name, _) = remaining.remove(removed);
        let after = select(&remaining, &routers);
        let mut expected = before.clone();
        expected.remove(&name);
        prop_assert!(after.is_superset(&expected));
        prop_assert!(after.difference(&expected).count() <= 1);
    }

    #[test]
    fn every_backend_is_covered_in_every_zone(backends in 30..200_usize, routers in 1..20_usize) {
        let backends = names("engine", backends);
        let routers = names("router", routers);
        let zone: Vec<&str> = routers.iter().map(String::as_str).collect();
        let list: Vec<SubsetCandidate<'_>> = backends
            .iter()
            .map(|name| SubsetCandidate { name, group: "model" })
            .collect();
        let mut covered = HashSet::new();
        for router in &routers {
            covered.extend(select_subset(&SubsetConfig::default(), router, &zone, &list));
        }
        prop_assert_eq!(covered.len(), backends.len());
    }

    #[test]
    fn a_budget_bounds_retries(requests in prop::collection::vec(any::<bool>(), 1..400)) {
        let mut budget = RetryBudget::new(0.2, 10.0);
        let (mut made, mut retried) = (0_u32, 0_u32);
        for is_request in requests {
            if is_request {
                budget.record_request();
                made += 1;
            } else {
                retried += u32::from(budget.try_retry());
            }
        }
        prop_assert!(f64::from(retried) <= 10.0 + 0.2 * f64::from(made) + 1e-6);
    }

    #[test]
    fn customers_stay_within_their_limits(steps in prop::collection::vec((0..3_u8, any::<bool>()), 1..200)) {
        let limits = CustomerLimits { in_flight: 5, tokens_per_second: 100 };
        let mut table = CustomerLimiter::new();
        let now = Instant::now();
        let mut in_flight: HashMap<u8, u32> = HashMap::new();
        for (customer, admit) in steps {
            let name = format!("customer-{customer}");
            let held = in_flight.entry(customer).or_default();
            if admit {
                let admitted = table.admit(&name, limits, 1, now);
                prop_assert_eq!(admitted.is_ok(), *held < 5);
                *held += u32::from(admitted.is_ok());
            } else if *held > 0 {
                table.release(&name);
                *held -= 1;
            }
        }
    }

    #[test]
    fn backoff_stays_within_its_bounds(retry in 0..40_u32, seed in any::<u64>()) {
        let max = Duration::from_millis(800);
        let backoff = Backoff::new(Duration::from_millis(40), max);
        let wait = backoff.delay(retry, &mut StdRng::seed_from_u64(seed));
        prop_assert!(wait <= max);
        prop_assert!(wait >= Duration::from_millis(20));
    }

    #[test]
    fn the_token_timeout_exceeds_the_gap_within_its_bounds(gap_ms in 1..400_u64) {
        let cfg = SuspicionConfig::favor_latency();
        let mut suspicion = SuspicionTimeouts::new(cfg);
        for _ in 0..50 {
            suspicion.record_gap(Duration::from_millis(gap_ms));
        }
        let timeout = suspicion.token_timeout();
        prop_assert!(timeout >= Duration::from_millis(gap_ms));
        prop_assert!(timeout >= cfg.min_token_timeout && timeout <= cfg.max_token_timeout);
    }
}

#[test]
fn a_failed_backend_returns_in_a_slow_start() {
    let names = names("engine", 1);
    let candidates = candidates(&names);
    let cfg = BalancingConfig::default();
    let mut table = LoadTable::new();
    let mut rng = StdRng::seed_from_u64(1);
    let failed = Instant::now();
    table.record_failure(&names[0], failed);
    let mut room_at = |seconds: u64| {
        let now = failed + Duration::from_secs(seconds);
        let mut table = table.clone();
        (0..REQUEST_LIMIT)
            .take_while(|_| {
                let choice = table.choose(
                    &cfg,
                    &candidates,
                    BalancingRequest::default(),
                    now,
                    &mut rng,
                );
                table.record_start(&names[0]);
                choice.is_some()
            })
            .count()
    };
    assert_eq!(room_at(1), 0);
    assert_eq!(room_at(2), 1);
    assert!(room_at(7) > 2 && room_at(7) < REQUEST_LIMIT);
    assert_eq!(room_at(20), REQUEST_LIMIT);
}

#[test]
fn a_customer_over_its_token_rate_is_refused_until_the_refill() {
    let limits = CustomerLimits {
        in_flight: 5,
        tokens_per_second: 100,
    };
    let mut table = CustomerLimiter::new();
    let now = Instant::now();
    assert!(table.admit("a", limits, 1, now).is_ok());
    table.charge("a", 400);
    assert_eq!(table.admit("a", limits, 1, now), Err(LimitRefusal::Rate));
    let later = now + Duration::from_secs(3);
    assert!(table.admit("a", limits, 1, later).is_ok());
}

/// Guards against an agent that resumes after a pause and orders an outdated model version.
#[test]
fn no_order_is_sent_after_a_pause_until_a_router_makes_contact() {
    let now = Instant::now();
    let mut orders = EngineOrders::new(OrderConfig::default());
    orders.record_loaded(Some("v1"));
    orders.record_router_contact(now);
    orders.set_target("v2", Revision(7), "engine-1", 1, now);
    let woken = now + Duration::from_secs(60);
    assert_eq!(
        orders.next_order(woken),
        None,
        "the configuration may be outdated"
    );
    orders.record_router_contact(woken);
    orders.set_target("v3", Revision(9), "engine-1", 1, woken);
    let order = orders.next_order(woken).expect("the order is due");
    assert_eq!(
        (order.version.as_str(), order.fencing_token),
        ("v3", Revision(9))
    );
    assert_eq!(orders.next_order(woken), None, "one order at a time");
    orders.record_result(&order, true, woken);
    orders.set_target("v2", Revision(8), "engine-1", 1, woken);
    assert_eq!(
        orders.next_order(woken),
        None,
        "an older revision is ignored"
    );
}

/// Guards against an overload of the weight store when all engines get a new model version.
#[test]
fn model_loads_are_spread_at_the_rate_of_the_weight_store() {
    let now = Instant::now();
    let cfg = OrderConfig::default();
    let due_at = |name: &str| {
        let mut orders = EngineOrders::new(cfg);
        orders.set_target("v1", Revision(1), name, 400, now);
        (0..40_u64).find(|s| {
            let at = now + Duration::from_secs(*s);
            orders.record_router_contact(at);
            orders.clone().next_order(at).is_some()
        })
    };
    let mut per_second: HashMap<u64, usize> = HashMap::new();
    for name in names("engine", 400) {
        *per_second.entry(due_at(&name).unwrap()).or_default() += 1;
    }
    let most = per_second.values().max().copied().unwrap();
    assert!(most as f64 <= cfg.loads_per_second * 2.0, "{per_second:?}");
}

#[test]
fn an_engine_whose_streams_all_stall_is_not_alive() {
    let now = Instant::now();
    let mut health = BackendHealth::new(HealthConfig::default());
    assert!(
        health.is_alive(now + Duration::from_secs(60)),
        "an idle engine is alive"
    );
    health.record_decode_start(now);
    assert!(health.is_alive(now + Duration::from_millis(300)));
    assert!(!health.is_alive(now + Duration::from_millis(600)));
    health.record_token(now + Duration::from_millis(700));
    assert!(health.is_alive(now + Duration::from_millis(800)));
    health.record_decode_end(now + Duration::from_millis(800));
    assert!(health.is_alive(now + Duration::from_secs(60)));
    health.record_probe(false);
    assert!(!health.is_alive(now + Duration::from_secs(60)));
}

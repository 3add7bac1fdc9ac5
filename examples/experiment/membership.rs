//! Membership experiment: subsets of backend servers at target size, computed by the routers' code.

use std::collections::BTreeSet;
use std::time::Instant;

use cactusbarrow_policy::{SubsetCandidate, SubsetConfig, select_subset};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::report::{Outcome, rounded};

const ROUTERS: usize = 720;
const SERVERS: usize = 12_000;
const ZONES: usize = 8;
const MODELS: usize = 30;

/// Figures of one way to select subsets.
#[derive(Serialize)]
struct Figures {
    subset_min: usize,
    subset_mean: f64,
    subset_max: usize,
    covered_min: usize,
    covered_mean: f64,
    covered_max: usize,
    smallest_group_of_any_router: usize,
    moves_per_server_gone: f64,
    moves_per_router_gone: f64,
}

/// A way to select subsets; returns the names of the servers of each router.
type Select = fn(&Fleet) -> Vec<BTreeSet<String>>;

/// Routers with their zones, and servers with their groups.
#[derive(Clone)]
struct Fleet {
    routers: Vec<(String, usize)>,
    servers: Vec<(String, String)>,
}

/// Compares the routers' selection with slices by rank; every server must be in some subset.
pub(crate) async fn run(seed: u64, is_short: bool) -> Outcome {
    let scale = if is_short { 10 } else { 1 };
    let fleet = Fleet {
        routers: (0..ROUTERS / scale)
            .map(|i| (format!("router-{i}"), i % ZONES))
            .collect(),
        servers: (0..SERVERS / scale)
            .map(|i| (format!("engine-{i}"), format!("model-{}", i % MODELS)))
            .collect(),
    };
    let mut outcome = Outcome::new("membership", seed);
    outcome.set("routers", fleet.routers.len());
    outcome.set("backend_servers", fleet.servers.len());
    let started = Instant::now();
    select_subsets(&fleet);
    let ms = started.elapsed().as_secs_f64() * 1e3 / fleet.routers.len() as f64;
    outcome.set("selection_ms_per_router", rounded(ms));
    let ours = measure(&fleet, select_subsets, seed);
    outcome.must_be("uncovered_servers", u64::from(ours.covered_min == 0), 0);
    outcome.set("ours", ours);
    outcome.set("slices_by_rank", measure(&fleet, select_slices, seed));
    outcome
}

fn select_subsets(fleet: &Fleet) -> Vec<BTreeSet<String>> {
    let candidates: Vec<SubsetCandidate<'_>> = fleet
        .servers
        .iter()
        .map(|(name, group)| SubsetCandidate { name, group })
        .collect();
    fleet
        .routers
        .iter()
        .map(|(name, zone)| {
            let peers: Vec<&str> = fleet
                .routers
                .iter()
                .filter(|(_, z)| z == zone)
                .map(|(name, _)| name.as_str())
                .collect();
            select_subset(&SubsetConfig::default(), name, &peers, &candidates)
                .into_iter()
                .map(|i| fleet.servers[i].0.clone())
                .collect()
        })
        .collect()
}

/// The baseline: the routers of each zone divide the list of servers into slices by their rank.
fn select_slices(fleet: &Fleet) -> Vec<BTreeSet<String>> {
    fleet
        .routers
        .iter()
        .map(|(name, zone)| {
            let peers: Vec<&String> = fleet
                .routers
                .iter()
                .filter(|(_, z)| z == zone)
                .map(|(name, _)| name)
                .collect();
            let rank = peers.iter().position(|peer| *peer == name).unwrap_or(0);
            let len = fleet.servers.len();
            let slice = rank * len / peers.len()..(rank + 1) * len / peers.len();
            let names = fleet.servers[slice].iter().map(|(name, _)| name.clone());
            names.collect()
        })
        .collect()
}

fn measure(fleet: &Fleet, select: Select, seed: u64) -> Figures {
    let mut rng = StdRng::seed_from_u64(seed);
    let before = select(fleet);
    let sizes: Vec<usize> = before.iter().map(BTreeSet::len).collect();
    let mut covered = std::collections::HashMap::new();
    for subset in &before {
        for name in subset {
            *covered.entry(name.as_str()).or_insert(0_usize) += 1;
        }
    }
    let cover_counts: Vec<usize> = fleet
        .servers
        .iter()
        .map(|(name, _)| covered.get(name.as_str()).copied().unwrap_or(0))
        .collect();
    let smallest = before.iter().map(|s| smallest_group(fleet, s)).min();
    let mut without_server = fleet.clone();
    let removed = rng.random_range(0..fleet.servers.len());
    let removed_server = without_server.servers.remove(removed).0;
    let after = select(&without_server);
    let server_moves = count_moves(&before, &after, &removed_server);
    let mut without_router = fleet.clone();
    let removed = rng.random_range(0..fleet.routers.len());
    without_router.routers.remove(removed);
    let mut rest = before.clone();
    rest.remove(removed);
    let router_moves = count_moves(&rest, &select(&without_router), "");
    let mean = |v: &[usize]| rounded(v.iter().sum::<usize>() as f64 / v.len() as f64);
    Figures {
        subset_min: sizes.iter().min().copied().unwrap_or(0),
        subset_mean: mean(&sizes),
        subset_max: sizes.iter().max().copied().unwrap_or(0),
        covered_min: cover_counts.iter().min().copied().unwrap_or(0),
        covered_mean: mean(&cover_counts),
        covered_max: cover_counts.iter().max().copied().unwrap_or(0),
        smallest_group_of_any_router: smallest.unwrap_or(0),
        moves_per_server_gone: server_moves as f64,
        moves_per_router_gone: router_moves as f64,
    }
}

fn smallest_group(fleet: &Fleet, subset: &BTreeSet<String>) -> usize {
    let mut groups = std::collections::HashMap::new();
    for (_, group) in &fleet.servers {
        groups.entry(group.as_str()).or_insert(0);
    }
    for (name, group) in &fleet.servers {
        if subset.contains(name) {
            *groups.entry(group.as_str()).or_insert(0) += 1;
        }
    }
    groups.values().min().copied().unwrap_or(0)
}

/// Counts the servers that joined or left any router's subset, except the removed one.
fn count_moves(before: &[BTreeSet<String>], after: &[BTreeSet<String>], removed: &str) -> usize {
    before
        .iter()
        .zip(after)
        .map(|(a, b)| {
            a.symmetric_difference(b)
                .filter(|name| *name != removed)
                .count()
        })
        .sum()
}

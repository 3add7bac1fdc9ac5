//! Benchmarks of single decisions; those that depend on the fleet run at several fleet sizes.

use std::hint::black_box;
use std::time::{Duration, Instant};

use cactusbarrow_policy::{
    AdmissionConfig, AdmissionController, AdoptedConfig, BackendLoad, BalancingConfig,
    BalancingRequest, Candidate, Change, ClaimAction, ClaimConfig, ClaimEvent, ClaimNonce,
    ClaimPage, ClaimRequest, ClaimShard, Delta, Digest, Favor, Generation, GenerationConfig,
    GenerationEvent, KeyHash, LoadTable, Revision, SubsetCandidate, SubsetConfig, TokenBuffer,
    Work, select_subset,
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn engine_names(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("engine-{i}")).collect()
}

fn choose(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose");
    for count in [4, 24, 160] {
        let names = engine_names(count);
        let candidates: Vec<Candidate<'_>> = names
            .iter()
            .map(|name| Candidate {
                name,
                is_same_zone: true,
                limit: 64,
            })
            .collect();
        let mut table = LoadTable::new();
        for name in &names {
            let load = BackendLoad {
                in_flight: 3,
                is_draining: false,
                is_alive: true,
            };
            table.record_report(name, load);
        }
        let mut rng = StdRng::seed_from_u64(1);
        let now = Instant::now();
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            let cfg = BalancingConfig::default();
            let req = BalancingRequest {
                prompt: Some(b"a prompt"),
                is_resume: false,
            };
            b.iter(|| table.choose(&cfg, &candidates, req, now, &mut rng));
        });
    }
    group.finish();
}

fn relay_tokens(c: &mut Criterion) {
    let mut rng = StdRng::seed_from_u64(1);
    c.bench_function("splice/1000 tokens", |b| {
        b.iter(|| {
            let now = Instant::now();
            let cfg = GenerationConfig::for_favor(Favor::Latency);
            let (mut generation, _) = Generation::start(cfg, now);
            let attempt = generation.current_attempt().unwrap_or_default();
            for offset in 0..1_000 {
                let mut tokens = TokenBuffer::new();
                tokens.push(offset as u32, b"word");
                let event = GenerationEvent::Tokens {
                    attempt,
                    offset,
                    tokens: &tokens,
                };
                black_box(generation.handle(event, now, &mut rng));
            }
        });
    });
}

fn admit(c: &mut Criterion) {
    let mut controller = AdmissionController::new(AdmissionConfig::default(), 64);
    let now = Instant::now();
    let mut nonce = 0;
    c.bench_function("gate/claimed call", |b| {
        b.iter(|| {
            nonce += 1;
            let work = Work::Claimed {
                nonce: ClaimNonce(nonce),
            };
            if let Ok(permit) = controller.admit(&work, now) {
                controller.release(permit);
            }
        });
    });
}

/// Claim shard with an in-memory store that responds at once.
struct ShardWithStore {
    state_machine: ClaimShard,
    index: u64,
    page: ClaimPage,
    now: Instant,
}

impl ShardWithStore {
    fn claim(&mut self, key: u128) {
        self.now += Duration::from_secs(1);
        let req = ClaimRequest {
            key: KeyHash(key),
            nonce: ClaimNonce(key as u64),
            body_hash: 1,
            deadline: self.now + Duration::from_secs(2),
        };
        let mut events = vec![ClaimEvent::Claim(req)];
        while let Some(event) = events.pop() {
            for action in self.state_machine.handle(event, self.now, 1_000) {
                events.extend(self.perform(action));
            }
        }
    }

    fn perform(&mut self, action: ClaimAction) -> Option<ClaimEvent> {
        match action {
            ClaimAction::ReadHead => Some(ClaimEvent::HeadRead(
                (self.index > 0).then(|| (self.index, self.page.clone())),
            )),
            ClaimAction::WriteHead { value, .. } => {
                self.index += 1;
                self.page = ClaimPage::decode(&value).unwrap_or_default();
                Some(ClaimEvent::HeadWritten)
            }
            ClaimAction::WriteSegment { .. } => Some(ClaimEvent::SegmentWritten),
            _ => None,
        }
    }
}

fn claim(c: &mut Criterion) {
    let mut shard = ShardWithStore {
        state_machine: ClaimShard::new(ClaimConfig::default()),
        index: 0,
        page: ClaimPage::default(),
        now: Instant::now(),
    };
    let mut key = 0;
    c.bench_function("claim/one call, one page", |b| {
        b.iter(|| {
            key += 1;
            shard.claim(key);
        });
    });
}

fn adopt(c: &mut Criterion) {
    let mut group = c.benchmark_group("adopt one change");
    for count in [1_000_u64, 5_000, 21_200] {
        let change = |i: u64, revision: u64| Change {
            key: format!("backend_server/engine-{i}").into(),
            value: Some("{\"backend_server\":{}}".into()),
            revision: Revision(revision),
        };
        let changes: Vec<Change> = (0..count).map(|i| change(i, 1)).collect();
        let digest = changes.iter().fold(Digest::default(), |digest, change| {
            digest.toggle(&change.key, change.revision)
        });
        let mut adopted = AdoptedConfig::new();
        let initial = Delta {
            from: Revision(0),
            to: Revision(1),
            changes,
            digest,
        };
        adopted.adopt(&initial).expect("the digest is right");
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                let old = adopted.revision();
                let to = Revision(old.0 + 1);
                let changed = change(0, to.0);
                let digest = adopted
                    .digest()
                    .toggle(&changed.key, old)
                    .toggle(&changed.key, to);
                let delta = Delta {
                    from: old,
                    to,
                    changes: vec![changed],
                    digest,
                };
                adopted.adopt(&delta).expect("the digest is right");
            });
        });
    }
    group.finish();
}

fn subset(c: &mut Criterion) {
    let mut group = c.benchmark_group("select a subset");
    group.sample_size(20);
    for (servers, routers) in [(1_000, 8), (4_000, 30), (12_000, 90)] {
        let names = engine_names(servers);
        let candidates: Vec<SubsetCandidate<'_>> = names
            .iter()
            .enumerate()
            .map(|(i, name)| SubsetCandidate {
                name,
                group: ["a", "b", "c", "d", "e"][i % 5],
            })
            .collect();
        let peers: Vec<String> = (0..routers).map(|i| format!("router-{i}")).collect();
        let peers: Vec<&str> = peers.iter().map(String::as_str).collect();
        group.bench_function(BenchmarkId::from_parameter(servers), |b| {
            let cfg = SubsetConfig::default();
            b.iter(|| select_subset(&cfg, peers[0], &peers, &candidates));
        });
    }
    group.finish();
}

criterion_group!(decisions, choose, relay_tokens, admit, claim, adopt, subset);
criterion_main!(decisions);

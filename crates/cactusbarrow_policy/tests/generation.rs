//! A caller receives one generation without gap or repetition, whatever its attempts do.

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cactusbarrow_policy::{
    AttemptEnd, AttemptNumber, Favor, FinishReason, Generation, GenerationAction, GenerationConfig,
    GenerationEvent, Outcome, Reason, TokenBuffer,
};
use common::fixed_seed_config;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const GENERATION_LENGTH: usize = 24;

/// One step of a schedule; `attempt` picks among all attempts ever started.
#[derive(Clone, Debug)]
enum Step {
    Tokens { attempt: usize, count: usize },
    Repeat { attempt: usize },
    AgentHeartbeat { attempt: usize, engine_alive: bool },
    Move { attempt: usize },
    Lose { attempt: usize },
    Refuse { attempt: usize },
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let attempt = 0..8_usize;
    prop_oneof![
        6 => (attempt.clone(), 1..5_usize)
            .prop_map(|(attempt, count)| Step::Tokens { attempt, count }),
        1 => attempt.clone().prop_map(|attempt| Step::Repeat { attempt }),
        2 => (attempt.clone(), any::<bool>())
            .prop_map(|(attempt, engine_alive)| Step::AgentHeartbeat { attempt, engine_alive }),
        1 => attempt.clone().prop_map(|attempt| Step::Move { attempt }),
        1 => attempt.clone().prop_map(|attempt| Step::Lose { attempt }),
        1 => attempt.prop_map(|attempt| Step::Refuse { attempt }),
        3 => (1..900_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// Progress of an attempt at its engine; a token id encodes the attempt and the offset.
struct Run {
    prefix: usize,
    next: usize,
}

/// Drives a generation and checks what it emits.
struct Model {
    state_machine: Generation,
    runs: BTreeMap<AttemptNumber, Run>,
    now: Instant,
    rng: StdRng,
    emitted: Vec<u32>,
    finished: bool,
    given_up: Option<(Outcome, Reason)>,
}

fn token_id(attempt: AttemptNumber, offset: usize) -> u32 {
    attempt.0 << 16 | offset as u32
}

impl Model {
    fn new(favor: Favor) -> Self {
        let now = Instant::now();
        let (state_machine, actions) = Generation::start(GenerationConfig::for_favor(favor), now);
        let mut model = Self {
            state_machine,
            runs: BTreeMap::new(),
            now,
            rng: StdRng::seed_from_u64(1),
            emitted: Vec::new(),
            finished: false,
            given_up: None,
        };
        model.perform(actions);
        model
    }

    fn perform(&mut self, actions: Vec<GenerationAction>) {
        for action in actions {
            match action {
                GenerationAction::Start { attempt, prefix } => {
                    assert_eq!(
                        prefix,
                        self.emitted.len(),
                        "an attempt must start after the last emitted token"
                    );
                    let next = prefix;
                    let old = self.runs.insert(attempt, Run { prefix, next });
                    assert!(old.is_none(), "attempt numbers must not be used twice");
                }
                GenerationAction::Cancel { attempt, .. } => {
                    assert!(self.runs.contains_key(&attempt));
                }
                GenerationAction::Emit { from, to } => {
                    assert_eq!(
                        from,
                        self.emitted.len(),
                        "tokens must be emitted without gap or repetition"
                    );
                    self.emitted
                        .extend_from_slice(&self.state_machine.accepted().ids()[from..to]);
                }
                GenerationAction::Finish(_) => {
                    assert_eq!(self.emitted.len(), GENERATION_LENGTH);
                    self.finished = true;
                }
                GenerationAction::GiveUp(outcome, reason) => {
                    self.given_up = Some((outcome, reason));
                }
            }
        }
    }

    fn handle(&mut self, event: GenerationEvent<'_>) {
        let actions = self.state_machine.handle(event, self.now, &mut self.rng);
        self.perform(actions);
    }

    fn nth_attempt(&self, attempt: usize) -> AttemptNumber {
        let numbers: Vec<AttemptNumber> = self.runs.keys().copied().collect();
        numbers[attempt % numbers.len()]
    }

    fn deliver(&mut self, attempt: AttemptNumber, offset: usize, count: usize) {
        let mut tokens = TokenBuffer::new();
        for offset in offset..offset + count {
            tokens.push(token_id(attempt, offset), b"x");
        }
        self.handle(GenerationEvent::Tokens {
            attempt,
            offset,
            tokens: &tokens,
        });
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Tokens { attempt, count } => {
                let attempt = self.nth_attempt(attempt);
                let offset = self.runs[&attempt].next;
                let count = count.min(GENERATION_LENGTH - offset);
                if count > 0 {
                    self.runs.get_mut(&attempt).unwrap().next += count;
                    self.deliver(attempt, offset, count);
                }
                if offset + count == GENERATION_LENGTH {
                    self.handle(GenerationEvent::Ended {
                        attempt,
                        length: GENERATION_LENGTH,
                        end: AttemptEnd::Finished(FinishReason::Length),
                    });
                }
            }
            Step::Repeat { attempt } => {
                let attempt = self.nth_attempt(attempt);
                let prefix = self.runs[&attempt].prefix;
                let count = self.runs[&attempt].next - prefix;
                self.deliver(attempt, prefix, count);
            }
            Step::AgentHeartbeat {
                attempt,
                engine_alive,
            } => {
                let attempt = self.nth_attempt(attempt);
                self.handle(GenerationEvent::AgentHeartbeat {
                    attempt,
                    engine_alive,
                });
            }
            Step::Move { attempt } => {
                let attempt = self.nth_attempt(attempt);
                self.handle(GenerationEvent::MoveRequested { attempt });
            }
            Step::Lose { attempt } => self.end(attempt, AttemptEnd::Lost(Reason::AgentLost)),
            Step::Refuse { attempt } => self.end(attempt, AttemptEnd::Refused(Reason::Draining)),
            Step::Wait { ms } => {
                self.now += Duration::from_millis(ms);
                self.handle(GenerationEvent::Tick);
            }
        }
    }

    fn end(&mut self, attempt: usize, end: AttemptEnd) {
        let attempt = self.nth_attempt(attempt);
        let length = self.runs[&attempt].next;
        self.handle(GenerationEvent::Ended {
            attempt,
            length,
            end,
        });
    }

    /// Checks that the tokens of each attempt follow right after its prefix, without a return to
    /// an earlier attempt.
    fn check_consistency(&self) {
        let mut current = None;
        for (i, id) in self.emitted.iter().enumerate() {
            let attempt = AttemptNumber(id >> 16);
            assert_eq!(
                (id & 0xffff) as usize,
                i,
                "a token must be emitted at its own offset"
            );
            if current != Some(attempt) {
                assert!(
                    Some(attempt) > current,
                    "a replaced attempt must not become current again"
                );
                assert_eq!(
                    self.runs[&attempt].prefix, i,
                    "an attempt must continue right after its prefix"
                );
                current = Some(attempt);
            }
        }
    }
}

fn favor() -> impl Strategy<Value = Favor> {
    prop_oneof![Just(Favor::Latency), Just(Favor::Resources)]
}

proptest! {
    #![proptest_config(fixed_seed_config(2_000))]

    #[test]
    fn emitted_tokens_form_one_generation(
        favor in favor(),
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut model = Model::new(favor);
        for step in &steps {
            model.apply(step);
            model.check_consistency();
        }
        prop_assert!(!(model.finished && model.given_up.is_some()));
    }

    #[test]
    fn a_generation_ends_once_its_newest_attempt_delivers(
        favor in favor(),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut model = Model::new(favor);
        for step in &steps {
            model.apply(step);
        }
        // From here on, the newest attempt delivers a token at every step of time.
        for _ in 0..400 {
            if model.finished || model.given_up.is_some() {
                break;
            }
            model.apply(&Step::Wait { ms: 20 });
            let newest = model.runs.len() - 1;
            model.apply(&Step::Tokens { attempt: newest, count: 1 });
        }
        prop_assert!(model.finished || model.given_up.is_some());
        model.check_consistency();
    }

    #[test]
    fn not_run_is_reported_only_if_no_attempt_responded(
        favor in favor(),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut model = Model::new(favor);
        let mut has_response = false;
        for step in &steps {
            let is_done_before = model.state_machine.is_done();
            let is_response = matches!(step, Step::Tokens { .. } | Step::Repeat { .. } | Step::AgentHeartbeat { .. });
            has_response |= !is_done_before && is_response;
            model.apply(step);
        }
        if let Some((Outcome::NotRun, _)) = model.given_up {
            prop_assert!(!has_response);
        }
        if model.given_up.is_some() && has_response {
            prop_assert_ne!(model.given_up.unwrap().0, Outcome::NotRun);
        }
    }
}

#[test]
fn the_first_token_of_a_standby_replaces_the_suspect() {
    let mut model = Model::new(Favor::Latency);
    model.apply(&Step::Tokens {
        attempt: 0,
        count: 4,
    });
    model.apply(&Step::Wait { ms: 1_500 });
    assert_eq!(model.runs.len(), 2, "silence starts a standby");
    model.apply(&Step::Tokens {
        attempt: 1,
        count: 2,
    });
    model.apply(&Step::Tokens {
        attempt: 0,
        count: 2,
    });
    assert_eq!(model.emitted.len(), 6);
    assert_eq!(
        model.state_machine.current_attempt(),
        Some(AttemptNumber(2))
    );
}

#[test]
fn a_token_of_the_suspect_cancels_the_standby() {
    let mut model = Model::new(Favor::Latency);
    model.apply(&Step::Tokens {
        attempt: 0,
        count: 4,
    });
    model.apply(&Step::Wait { ms: 1_500 });
    model.apply(&Step::Tokens {
        attempt: 0,
        count: 2,
    });
    model.apply(&Step::Tokens {
        attempt: 1,
        count: 2,
    });
    assert_eq!(model.emitted.len(), 6);
    assert_eq!(
        model.state_machine.current_attempt(),
        Some(AttemptNumber(1))
    );
    assert_eq!(model.state_machine.stats().false_suspicions, 1);
}

#[test]
fn a_failed_move_emits_the_withheld_tokens() {
    let mut model = Model::new(Favor::Latency);
    model.apply(&Step::Tokens {
        attempt: 0,
        count: 4,
    });
    model.apply(&Step::Move { attempt: 0 });
    model.apply(&Step::Tokens {
        attempt: 0,
        count: 3,
    });
    assert_eq!(
        model.emitted.len(),
        4,
        "tokens of the old attempt are withheld"
    );
    model.apply(&Step::Refuse { attempt: 1 });
    assert_eq!(
        model.emitted.len(),
        7,
        "withheld tokens are emitted if the move fails"
    );
}

#[test]
fn a_move_resumes_from_its_prefix_if_the_old_attempt_is_lost() {
    let mut model = Model::new(Favor::Latency);
    model.apply(&Step::Tokens {
        attempt: 0,
        count: 4,
    });
    model.apply(&Step::Move { attempt: 0 });
    model.apply(&Step::Tokens {
        attempt: 0,
        count: 1,
    });
    model.apply(&Step::Lose { attempt: 0 });
    assert_eq!(
        model.emitted.len(),
        4,
        "withheld tokens of the lost attempt are dropped"
    );
    model.apply(&Step::Tokens {
        attempt: 1,
        count: 2,
    });
    model.check_consistency();
    assert_eq!(model.emitted.len(), 6);
}

/// Another attempt could produce tokens that differ from those the caller already has.
#[test]
fn a_lost_attempt_is_not_replaced_while_the_caller_is_ahead() {
    let now = Instant::now();
    let cfg = GenerationConfig::for_favor(Favor::Latency);
    let attempt = AttemptNumber(3);
    let mut state_machine = Generation::take_over(cfg, attempt, 10, now);
    let mut rng = StdRng::seed_from_u64(1);
    let actions = state_machine.handle(
        GenerationEvent::Ended {
            attempt,
            length: 0,
            end: AttemptEnd::Lost(Reason::AgentLost),
        },
        now,
        &mut rng,
    );
    assert!(actions.contains(&GenerationAction::GiveUp(
        Outcome::Failed,
        Reason::GenerationLost
    )));
}

#[test]
fn a_generation_without_a_token_is_given_up_at_its_timeout() {
    let cfg = GenerationConfig::for_favor(Favor::Latency);
    let start = Instant::now();
    let (mut state_machine, _) = Generation::start(cfg, start);
    let mut rng = StdRng::seed_from_u64(1);
    let mut now = start;
    while now < start + cfg.first_progress_timeout {
        let attempt = state_machine.current_attempt();
        if let Some(attempt) = attempt {
            let end = AttemptEnd::Refused(Reason::BackendFull);
            let event = GenerationEvent::Ended {
                attempt,
                length: 0,
                end,
            };
            state_machine.handle(event, now, &mut rng);
        }
        assert!(!state_machine.is_done());
        now = state_machine.next_wake().expect("a pending deadline");
        let actions = state_machine.handle(GenerationEvent::Tick, now, &mut rng);
        let given_up = GenerationAction::GiveUp(Outcome::NotRun, Reason::BackendFull);
        assert_eq!(actions.contains(&given_up), state_machine.is_done());
    }
    assert!(state_machine.is_done());
    assert_eq!(now, start + cfg.first_progress_timeout);
}

/// Lets time pass until a generation is given up; `queues` tells whether its attempts wait for capacity.
fn give_up_in_silence(favor: Favor, queues: bool) -> Outcome {
    let mut now = Instant::now();
    let (mut state_machine, mut actions) =
        Generation::start(GenerationConfig::for_favor(favor), now);
    let mut rng = StdRng::seed_from_u64(1);
    loop {
        for action in &actions {
            match action {
                GenerationAction::Start { attempt, .. } if queues => {
                    state_machine.set_queued(*attempt);
                }
                GenerationAction::GiveUp(outcome, _) => return *outcome,
                _ => {}
            }
        }
        now = state_machine.next_wake().expect("a pending deadline");
        actions = state_machine.handle(GenerationEvent::Tick, now, &mut rng);
    }
}

#[test]
fn attempt_that_was_sent_and_not_heard_from_may_have_run() {
    for favor in [Favor::Latency, Favor::Resources] {
        assert_eq!(give_up_in_silence(favor, false), Outcome::Unknown);
        assert_eq!(give_up_in_silence(favor, true), Outcome::NotRun);
    }
}

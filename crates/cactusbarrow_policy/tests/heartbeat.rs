//! Heartbeats of backend servers: probes, losses and stalls of the process itself.

use std::time::{Duration, Instant};

use cactusbarrow_policy::{Heartbeat, HeartbeatConfig, HeartbeatStep};

const POLL: Duration = Duration::from_millis(20);

/// Polls until the decision is not to wait, or until `limit` has passed.
fn next_step(
    heartbeat: &mut Heartbeat,
    cfg: &HeartbeatConfig,
    from: Instant,
    limit: Duration,
) -> (HeartbeatStep, Duration) {
    let mut at = Duration::ZERO;
    while at < limit {
        at += POLL;
        let step = heartbeat.poll(cfg, from + at);
        if step != HeartbeatStep::Wait {
            return (step, at);
        }
    }
    (HeartbeatStep::Wait, at)
}

#[test]
fn silent_engine_is_lost_early_enough_to_resume() {
    let cfg = HeartbeatConfig::default();
    let start = Instant::now();
    let mut heartbeat = Heartbeat::new(start);
    let second = Duration::from_secs(1);
    let (step, probed) = next_step(&mut heartbeat, &cfg, start, second);
    assert_eq!(step, HeartbeatStep::Probe);
    let (step, again) = next_step(&mut heartbeat, &cfg, start + probed, second);
    assert_eq!(
        step,
        HeartbeatStep::Probe,
        "one lost packet must not decide"
    );
    let (step, lost) = next_step(&mut heartbeat, &cfg, start + probed + again, second);
    assert_eq!(step, HeartbeatStep::Lost);
    // 700 ms is the pause that callers tolerate; the resume itself takes about 200 ms.
    assert!(probed + again + lost < Duration::from_millis(450));
}

#[test]
fn engine_that_responds_to_probes_while_reading_a_prompt_is_not_lost() {
    let cfg = HeartbeatConfig::default();
    let start = Instant::now();
    let mut heartbeat = Heartbeat::new(start);
    let mut probe_due = None;
    for tick in 1..=250_u32 {
        let now = start + POLL * tick;
        if probe_due.is_some_and(|due| due <= now) {
            heartbeat.record_alive(now);
            probe_due = None;
        }
        match heartbeat.poll(&cfg, now) {
            HeartbeatStep::Wait => {}
            // Responses to probes arrive 100 ms later, while the streams stay silent.
            HeartbeatStep::Probe => {
                probe_due.get_or_insert(now + Duration::from_millis(100));
            }
            HeartbeatStep::Lost => {
                panic!("a live engine was considered lost after {:?}", now - start)
            }
        }
    }
}

/// Data that arrived during the stall has not been read yet, so the silence says nothing about the
/// engine.
#[test]
fn stalled_process_considers_no_engine_lost() {
    let cfg = HeartbeatConfig::default();
    let start = Instant::now();
    let mut heartbeat = Heartbeat::new(start);
    let (step, probed) = next_step(&mut heartbeat, &cfg, start, Duration::from_secs(1));
    assert_eq!(step, HeartbeatStep::Probe);
    let woken = start + probed + Duration::from_secs(3);
    assert_eq!(heartbeat.poll(&cfg, woken), HeartbeatStep::Wait);
    assert_ne!(heartbeat.poll(&cfg, woken + POLL), HeartbeatStep::Lost);
}

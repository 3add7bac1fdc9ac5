//! How long a connection is kept on which no request is being served.

use std::time::{Duration, Instant};

use cactusbarrow_net::{CloseCause, KeptConnection};

const LONG: Duration = Duration::from_secs(15);
const SHORT: Duration = Duration::from_secs(1);
const MOMENT: Duration = Duration::from_millis(10);

/// Returns a connection on which one request has been answered under an idle time-out.
fn used_connection(now: Instant, idle_timeout: Duration) -> KeptConnection {
    let mut conn = KeptConnection::new(now, idle_timeout);
    conn.record_data(now);
    conn.begin_request();
    conn.promise(idle_timeout);
    conn.end_request(now);
    conn
}

#[test]
fn shorter_idle_timeout_applies_from_the_next_response() {
    let now = Instant::now();
    let mut conn = used_connection(now, LONG);
    assert_eq!(conn.close_cause(now + LONG - MOMENT, SHORT), None);
    assert_eq!(conn.close_cause(now + LONG, SHORT), Some(CloseCause::Idle));
    conn.record_data(now);
    conn.begin_request();
    conn.promise(SHORT);
    assert_eq!(conn.close_cause(now + LONG, SHORT), None);
    conn.end_request(now);
    assert_eq!(conn.close_cause(now + SHORT, SHORT), Some(CloseCause::Idle));
}

#[test]
fn longer_idle_timeout_applies_at_once() {
    let now = Instant::now();
    let conn = used_connection(now, SHORT);
    assert_eq!(conn.close_cause(now + SHORT, LONG), None);
}

#[test]
fn stated_time_is_shorter_than_the_idle_timeout() {
    let mut conn = used_connection(Instant::now(), LONG);
    assert_eq!(conn.promise(LONG), Some(14));
    assert_eq!(conn.promise(Duration::from_millis(1_500)), Some(1));
    assert_eq!(conn.promise(SHORT), None);
}

#[test]
fn request_that_arrives_slowly_does_not_keep_its_connection() {
    let now = Instant::now();
    let mut conn = used_connection(now, SHORT);
    conn.record_data(now + SHORT / 2);
    assert_eq!(conn.close_cause(now + SHORT, SHORT), None);
    conn.record_data(now + SHORT);
    let over = now + SHORT / 2 + SHORT;
    assert_eq!(conn.close_cause(over, SHORT), Some(CloseCause::Idle));
}

#[test]
fn drain_closes_idle_connections_and_waits_for_requests_on_their_way() {
    let now = Instant::now();
    let drained = |mut conn: KeptConnection| {
        conn.begin_drain(now);
        conn
    };
    let idle = drained(used_connection(now, LONG));
    assert_eq!(idle.close_cause(now, LONG), Some(CloseCause::Drain));
    let fresh = drained(KeptConnection::new(now, LONG));
    assert_eq!(fresh.close_cause(now + MOMENT, LONG), None);
    let mut arriving = used_connection(now, LONG);
    arriving.record_data(now);
    let arriving = drained(arriving);
    assert_eq!(arriving.close_cause(now + MOMENT, LONG), None);
    for conn in [fresh, arriving] {
        let cause = conn.close_cause(now + Duration::from_secs(1), LONG);
        assert_eq!(cause, Some(CloseCause::Drain));
    }
}

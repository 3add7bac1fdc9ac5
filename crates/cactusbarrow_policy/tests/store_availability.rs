//! Whether vanished entries may be written again, in outages of the store and cuts of gateways.

use std::time::{Duration, Instant};

use cactusbarrow_policy::{EndedOutage, StoreAvailability, StoreAvailabilityConfig};

const NONE: Duration = Duration::ZERO;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the record of a gateway whose calls failed from 10 s to 15 s after `start`.
fn after_failures(start: Instant) -> StoreAvailability {
    let mut availability = StoreAvailability::new(StoreAvailabilityConfig::default());
    availability.record_success(start);
    availability.record_success(start + ms(9_000));
    assert_eq!(availability.record_failure(start + ms(10_000)), 1);
    assert_eq!(availability.record_failure(start + ms(11_000)), 2);
    assert!(!availability.is_ok());
    let ended = availability.record_success(start + ms(15_000));
    let outage = EndedOutage {
        duration: ms(5_000),
        failures: 2,
    };
    assert_eq!(ended, Some(outage));
    availability
}

#[test]
fn vanished_entries_may_return_for_two_seconds_after_an_outage() {
    let start = Instant::now();
    let availability = after_failures(start);
    let at = |offset: u64| start + ms(15_000 + offset);
    for offset in [0, 500, 1_900] {
        let end = availability.renewal_end(NONE, at(offset));
        assert_eq!(end, Some(at(2_000)), "the time does not begin anew");
    }
    assert_eq!(availability.renewal_end(NONE, at(2_000)), None);
}

/// Guards against a gateway that was cut off and takes that for an outage of the store.
#[test]
fn peer_that_watched_all_the_while_shows_that_entries_are_gone() {
    let start = Instant::now();
    let availability = after_failures(start);
    let now = start + ms(15_100);
    assert_eq!(availability.renewal_end(ms(60_000), now), None);
    assert!(availability.is_settled(ms(60_000), now));
    assert_eq!(
        availability.peer_renewal_end(ms(700), ms(60_000), now),
        None
    );
}

/// Guards against entries that are dropped after an outage because another gateway noticed its end.
#[test]
fn peer_that_noticed_the_same_outage_shows_when_it_ended() {
    let start = Instant::now();
    let availability = after_failures(start);
    let now = start + ms(15_100);
    let end = availability.renewal_end(ms(600), now);
    assert_eq!(end, Some(now + ms(1_400)), "the peer noticed it before");
    assert!(!availability.is_settled(ms(600), now));
    let end = availability.peer_renewal_end(ms(700), ms(600), now);
    assert_eq!(end, Some(now + ms(700)));
    let end = availability.peer_renewal_end(ms(9_000), NONE, now);
    assert_eq!(end, Some(now + ms(2_000)), "at most the renewal time");
}

/// Guards against a watcher that vouches for a time in which it would not have noticed an outage.
#[test]
fn gateway_vouches_only_for_the_time_that_it_has_watched() {
    let start = Instant::now();
    let mut availability = StoreAvailability::new(StoreAvailabilityConfig::default());
    let at = |offset: u64| start + ms(offset);
    assert_eq!(availability.watched_for(start), NONE, "no call");
    availability.record_success(at(0));
    assert_eq!(availability.watched_for(at(5_000)), ms(5_000));
    availability.record_failure(at(5_100));
    assert_eq!(availability.watched_for(at(5_100)), NONE, "it fails");
    availability.record_success(at(5_200));
    assert_eq!(
        availability.watched_for(at(6_000)),
        ms(800),
        "5.2 s unconfirmed"
    );
    availability.record_success(at(6_500));
    availability.record_failure(at(6_600));
    availability.record_success(at(6_700));
    assert_eq!(availability.watched_for(at(7_000)), ms(1_800), "too short");
    availability.record_restore(at(8_000));
    assert_eq!(availability.watched_for(at(8_500)), ms(500));
    availability.record_watch_end();
    assert_eq!(
        availability.watched_for(at(9_000)),
        NONE,
        "it does not watch"
    );
    availability.record_restore(at(9_100));
    assert_eq!(availability.watched_for(at(9_200)), NONE);
    availability.record_success(at(10_000));
    assert_eq!(
        availability.watched_for(at(10_300)),
        ms(300),
        "it watches again"
    );
}

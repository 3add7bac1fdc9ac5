//! Guards against streams that end early and look complete.

use cactusbarrow_policy::{AttemptStreamEnd, StreamEnd};

const EMPTY: AttemptStreamEnd = AttemptStreamEnd {
    has_events: false,
    is_framed: true,
};
const EMPTY_CLOSED: AttemptStreamEnd = AttemptStreamEnd {
    has_events: false,
    is_framed: false,
};
const WHOLE: AttemptStreamEnd = AttemptStreamEnd {
    has_events: true,
    is_framed: true,
};
const CLOSED: AttemptStreamEnd = AttemptStreamEnd {
    has_events: true,
    is_framed: false,
};

fn broken_off() -> StreamEnd {
    let mut end = StreamEnd::default();
    end.record_event();
    end.record_break();
    end
}

#[test]
fn engine_that_sent_events_completes_a_stream() {
    assert!(StreamEnd::default().is_complete(WHOLE, false));
    assert!(StreamEnd::default().is_complete(CLOSED, false));
    assert!(broken_off().is_complete(WHOLE, false));
}

#[test]
fn stream_that_broke_off_is_not_completed_without_proof() {
    for end in [EMPTY, EMPTY_CLOSED, CLOSED] {
        for is_only_engine in [false, true] {
            assert!(!broken_off().is_complete(end, is_only_engine), "{end:?}");
        }
    }
}

#[test]
fn second_engine_confirms_an_end() {
    for first in [EMPTY, EMPTY_CLOSED, CLOSED] {
        for second in [EMPTY, EMPTY_CLOSED] {
            let mut end = broken_off();
            assert!(!end.is_complete(first, false));
            assert!(end.is_complete(second, false), "{first:?}, {second:?}");
        }
    }
}

#[test]
fn event_refutes_an_end() {
    let mut end = broken_off();
    assert!(!end.is_complete(EMPTY, false));
    end.record_event();
    assert!(!end.is_complete(CLOSED, false));
    end.record_event();
    assert!(!end.is_complete(EMPTY, false));
}

#[test]
fn only_engine_ends_the_stream_of_a_caller_that_has_all_events() {
    assert!(StreamEnd::default().is_complete(EMPTY, true));
    assert!(!StreamEnd::default().is_complete(EMPTY, false));
    assert!(!StreamEnd::default().is_complete(EMPTY_CLOSED, true));
}

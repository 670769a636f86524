//! How many connections a node tries to hold where upstreams accept few.

use googletest::prelude::*;
use mux_model::{TimePoint, UpstreamId};
use mux_routing::{
    AcquireError,
    lane::{RetryWindow, ServiceLane},
};

use crate::fixtures::{OWN_ZONE, at, bounds, first, lane, ms, record, upstream};

/// Returns a lane of a process that has just started.
fn started_lane() -> ServiceLane {
    let window = RetryWindow::started(TimePoint::ZERO, false);
    let lane = ServiceLane::with_window(bounds(), OWN_ZONE.into(), window);
    lane.set_upstreams(TimePoint::ZERO, &[&record(0, OWN_ZONE)]);
    lane
}

/// All connections are in use.
fn saturated() -> Result<UpstreamId, AcquireError> {
    Err(AcquireError::Saturated { retry_after: ms(2) })
}

/// An upstream that still holds the connections of a process that was killed accepts few new ones:
/// they grow one by one with those that work.
#[gtest]
fn started_node_adds_connections_as_they_are_accepted() {
    let lane = started_lane();

    expect_that!(lane.connection_share(upstream(0)), eq(1));
    lane.record_connections(upstream(0), 1);
    lane.record_accepted(at(10), upstream(0));
    expect_that!(lane.connection_share(upstream(0)), eq(2));
    lane.record_connections(upstream(0), 2);
    lane.record_accepted(at(20), upstream(0));
    expect_that!(lane.connection_share(upstream(0)), eq(3));
}

/// An upstream that resets connections beyond its limit is used with those that it accepted, and
/// more are tried after a growing time.
#[gtest]
fn refused_connections_are_not_asked_for_again_at_once() {
    let lane = lane(&[record(0, OWN_ZONE)]);
    for number in 0..3 {
        first(&lane, at(number)).expect("a connection");
    }
    lane.record_connections(upstream(0), 3);

    lane.record_refused(at(10), upstream(0));
    lane.end_call(upstream(0), at(2));
    lane.record_connections(upstream(0), 2);

    expect_that!(first(&lane, at(11)), eq(saturated()));
    lane.end_call(upstream(0), at(1));
    expect_that!(first(&lane, at(12)), eq(Ok(upstream(0))));
    lane.record_accepted(at(100), upstream(0));
    expect_that!(lane.connection_share(upstream(0)), eq(2));
    lane.record_accepted(at(300), upstream(0));
    expect_that!(lane.connection_share(upstream(0)), eq(3));
}

/// A dial that failed says nothing against the connections that are open.
#[gtest]
fn open_connections_are_used_after_a_failed_dial() {
    let lane = lane(&[record(0, OWN_ZONE)]);
    first(&lane, at(0)).expect("a connection");
    lane.record_connections(upstream(0), 2);

    lane.record_dial(at(1), upstream(0), None);
    lane.record_connections(upstream(0), 1);
    let busy = first(&lane, at(2));
    lane.end_call(upstream(0), at(0));
    let free = first(&lane, at(3));

    expect_that!(busy, eq(saturated()));
    expect_that!(free, eq(Ok(upstream(0))));
}

/// Replays an upstream that holds dead connections for two seconds and accepts only one more of
/// this node, to which twenty calls a second come: calls that are lost to a reset are few.
#[gtest]
fn few_calls_are_lost_to_an_upstream_that_is_at_its_limit() {
    let lane = started_lane();
    let (mut lost, mut served, mut open) = (0, 0, 0_u32);
    let mut busy: Vec<(u64, TimePoint)> = Vec::new();
    for now_ms in 0..2_000_u64 {
        let now = at(now_ms);
        let ended: Vec<_> = busy.extract_if(.., |it| it.0 <= now_ms).collect();
        for (_, started) in ended {
            lane.end_call(upstream(0), started);
            lane.record_accepted(now, upstream(0));
            served += 1;
        }
        // Two calls come at once, twenty times a second.
        for _ in 0..if now_ms % 100 == 0 { 2 } else { 0 } {
            if first(&lane, now).is_err() {
                continue;
            }
            if busy.is_empty() {
                open = open.max(1);
                lane.record_connections(upstream(0), open);
                busy.push((now_ms + 20, now));
            } else {
                lane.record_connections(upstream(0), open + 1);
                lane.record_refused(now, upstream(0));
                lane.end_call(upstream(0), now);
                lane.record_connections(upstream(0), open);
                lost += 1;
            }
        }
    }

    expect_that!(served, eq(20));
    expect_that!(lost, le(4));
}

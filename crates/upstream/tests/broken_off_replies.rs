//! Replies that end too early, at every byte of their frames.

mod support;

use googletest::prelude::*;
use mux_model::CallFailure;
use mux_upstream::{UpstreamReply, header_names};

use support::{PoolFixture, RawServer, frames, query};

/// Bodies of which a beginning is a whole JSON value as well, or is not.
const BODIES: [&str; 2] = ["1234567", "{\"hits\":[1,2,3]}"];

/// Frames of a reply with this body, in the order in which they are sent.
fn reply_frames(body: &str, with_length: bool, with_trailers: bool) -> Vec<Vec<u8>> {
    let length = body.len().to_string();
    let mut headers = vec![
        (header_names::REQUEST_ID, "0123456789abcdef0123456789abcdef"),
        (header_names::CALL_ID, "1"),
        (header_names::SNAPSHOT, "7"),
        (header_names::SHARD, "3"),
    ];
    if with_length {
        headers.push(("content-length", &length));
    }
    let (first, last) = body.split_at(3);
    let mut frames = vec![frames::reply_head(&headers), frames::data(first)];
    if with_trailers {
        frames.extend([frames::data(last), frames::trailers("x-checksum", "17")]);
    } else {
        frames.push(frames::last_data(last));
    }
    frames
}

async fn call(reply: Vec<u8>) -> Result<UpstreamReply, CallFailure> {
    let server = RawServer::start(reply).await;
    let fixture = PoolFixture::new();
    let upstream = fixture.add_upstream(server.address, 2);
    fixture.pool.call(upstream, &fixture.header(1), query()).await
}

#[gtest]
#[tokio::test]
async fn complete_reply_is_returned() {
    for body in BODIES {
        for (with_length, with_trailers) in [(false, false), (true, false), (false, true)] {
            let reply = call(reply_frames(body, with_length, with_trailers).concat()).await;

            let case = format!("{body}, length {with_length}, trailers {with_trailers}");
            expect_that!(reply.is_ok_and(|it| it.body == body), eq(true), "{case}");
        }
    }
}

/// A reply that looks whole although its upstream has not sent all of it would be a wrong answer.
#[gtest]
#[tokio::test]
async fn reply_that_breaks_off_anywhere_fails() {
    for body in BODIES {
        for (with_length, with_trailers) in [(false, false), (true, false), (false, true)] {
            let whole = reply_frames(body, with_length, with_trailers).concat();
            for length in 0..whole.len() {
                let reply = call(whole[..length].to_vec()).await;

                let case =
                    format!("{body}, length {with_length}, {length} of {} bytes", whole.len());
                expect_that!(reply.is_err(), eq(true), "{case}");
            }
        }
    }
}

/// The upstream ends the stream or the connection in due form, but before the end of the reply.
#[gtest]
#[tokio::test]
async fn reply_that_its_upstream_ends_between_two_frames_fails() {
    let ends = [
        ("reset with NO_ERROR", frames::END_STREAM_EARLY),
        ("reset with CANCEL", frames::CANCEL_STREAM),
        ("reset with INTERNAL_ERROR", frames::RESET_STREAM),
        ("GOAWAY that covers the stream", frames::GO_AWAY_LAST_STREAM_1),
        ("GOAWAY that excludes the stream", frames::GO_AWAY_LAST_STREAM_0),
    ];
    for body in BODIES {
        for (with_length, with_trailers) in [(false, false), (true, false), (false, true)] {
            let frames = reply_frames(body, with_length, with_trailers);
            for (name, end) in ends {
                for sent in 0..frames.len() {
                    let reply = call([&frames[..sent].concat(), end].concat()).await;

                    let case = format!("{body}, length {with_length}, {name} after {sent} frames");
                    expect_that!(reply.is_err(), eq(true), "{case}");
                }
            }
        }
    }
}

//! Memory for the bodies of replies.

use googletest::prelude::*;
use mux_edge::{BufferReservation, MAX_REPLY_BYTES, ReplyBuffers, SHORT_REPLY_BYTES};

const BLOCK_BYTES: usize = 16 * 1_024;
/// Memory of the smallest nodes that replies may use, in bytes.
const MEMORY_BYTES: usize = 64 * 1_024 * 1_024;

/// Number of blocks that each endless reply sends.
const ROUNDS: usize = 1_000;

/// Adds a block to each body; one that cannot grow is cut off, and its upstream starts another one.
fn send_block(buffers: &ReplyBuffers, bodies: &mut [BufferReservation]) {
    for body in bodies {
        if !body.try_grow(BLOCK_BYTES) {
            *body = buffers.reserve();
        }
    }
}

/// The bodies of all shards' replies are endless.
#[gtest]
fn endless_replies_leave_memory_for_short_ones() {
    for count in [1, 3, 90, 270] {
        let buffers = ReplyBuffers::default();
        let mut endless: Vec<_> = (0..count).map(|_| buffers.reserve()).collect();

        let without_memory = (0..ROUNDS).filter(|_| {
            send_block(&buffers, &mut endless);
            !buffers.reserve().try_grow(SHORT_REPLY_BYTES)
        });

        expect_that!(without_memory.count(), eq(0), "{count} endless replies");
        expect_that!(buffers.used_bytes(), le(MEMORY_BYTES), "{count} endless replies");
    }
}

#[gtest]
fn reply_is_limited_although_memory_is_free() {
    let mut reservation = ReplyBuffers::default().reserve();

    expect_true!(reservation.try_grow(MAX_REPLY_BYTES));
    expect_false!(reservation.try_grow(1));
}

/// Each chunk costs processor time, so that their number has to be limited as well.
#[gtest]
fn reply_in_tiny_chunks_is_limited_by_their_number() {
    let mut reservation = ReplyBuffers::default().reserve();

    let chunks = (0..1_000_000).take_while(|_| reservation.try_grow(16)).count();

    expect_that!(chunks, eq(MAX_REPLY_BYTES / 256));
}

#[gtest]
fn memory_of_a_reply_is_released_with_it() {
    let buffers = ReplyBuffers::default();
    let mut reservation = buffers.reserve();
    expect_true!(reservation.try_grow(BLOCK_BYTES));
    expect_that!(buffers.used_bytes(), eq(BLOCK_BYTES));

    drop(reservation);

    expect_that!(buffers.used_bytes(), eq(0));
}

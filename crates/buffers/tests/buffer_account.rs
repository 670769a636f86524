//! Room for messages in an account of memory.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use bytes::Bytes;
use googletest::prelude::*;
use mux_buffers::{BufferAccount, BufferError, GrowingBuffer};
use mux_model::TimePoint;
use proptest::prelude::*;

const LIMIT: usize = 1_100_000;
const LONG_MESSAGE: usize = 256 * 1_024;
const START: TimePoint = TimePoint::from_millis(10_000);
/// Later than the time for which a new buffer is protected.
const LATER: TimePoint = TimePoint::from_millis(12_000);

fn account() -> BufferAccount {
    BufferAccount::new(LIMIT)
}

/// Returns a buffer that holds all but the last byte of a long message.
fn unfinished(account: &BufferAccount, at: TimePoint) -> GrowingBuffer {
    let mut buffer = account.start_buffer(LONG_MESSAGE);
    buffer.append(at, &vec![1; LONG_MESSAGE - 1]).unwrap();
    buffer
}

#[gtest]
fn message_counts_until_its_last_copy_is_dropped() {
    let account = account();
    let mut buffer = account.start_buffer(3_000);
    buffer.append(START, &[1; 1_000]).unwrap();
    buffer.append(START, &[2; 2_000]).unwrap();

    let message = buffer.finish().unwrap();

    expect_that!(message.len(), eq(3_000));
    expect_that!(account.usage().used_bytes, eq(3_000));
    let copy = message.slice(10..20);
    drop(message);
    expect_that!(account.usage().used_bytes, eq(3_000));
    drop(copy);
    expect_that!(account.usage().used_bytes, eq(0));
}

#[gtest]
fn buffer_in_pieces_of_one_byte_counts_at_most_twice_its_content() {
    let account = account();
    let mut buffer = account.start_buffer(LONG_MESSAGE);

    for _ in 0..10_000 {
        buffer.append(START, &[1]).unwrap();
    }

    expect_that!(account.usage().used_bytes, le(20_000));
    expect_that!(buffer.finish().unwrap().len(), eq(10_000));
}

#[gtest]
fn single_message_is_received_although_it_exceeds_the_limit() {
    let account = BufferAccount::new(1_000);
    let mut buffer = account.start_buffer(LONG_MESSAGE);

    for piece in vec![1; LONG_MESSAGE].chunks(8_192) {
        buffer.append(START, piece).unwrap();
    }

    expect_that!(buffer.finish().unwrap().len(), eq(LONG_MESSAGE));
}

#[gtest]
fn new_message_is_refused_while_no_other_has_been_there_for_long() {
    let account = account();
    let _first = [(); 3].map(|()| unfinished(&account, START));
    let mut buffer = account.start_buffer(LONG_MESSAGE);

    let appended = buffer.append(START, &[1; LONG_MESSAGE - 1]);

    expect_that!(appended, eq(Err(BufferError::Full)));
    expect_that!(account.usage().refused, eq(1));
    expect_that!(account.usage().displaced, eq(0));
}

#[gtest]
fn message_without_progress_for_the_longest_time_is_displaced() {
    let account = account();
    let first = [1, 0, 2].map(|it| unfinished(&account, START + millis(it)));

    let newcomer = unfinished(&account, LATER);

    let received = first.map(|it| it.finish().map(|it| it.len()));
    let whole = Ok(LONG_MESSAGE - 1);
    expect_that!(received, eq([whole, Err(BufferError::Displaced), whole]));
    expect_that!(newcomer.finish().unwrap().len(), eq(LONG_MESSAGE - 1));
    expect_that!(account.usage().displaced, eq(1));
}

#[gtest]
fn displaced_buffer_gives_its_memory_back_at_once() {
    let account = BufferAccount::new(LONG_MESSAGE);
    let stalled = unfinished(&account, START);

    let newcomer = unfinished(&account, LATER);

    expect_that!(account.usage().used_bytes, eq(LONG_MESSAGE - 1));
    drop(stalled);
    expect_that!(account.usage().used_bytes, eq(LONG_MESSAGE - 1));
    drop(newcomer);
    expect_that!(account.usage().used_bytes, eq(0));
}

#[gtest]
fn complete_message_is_not_displaced() {
    let account = account();
    let messages = [(); 3].map(|()| unfinished(&account, START).finish().unwrap());

    let mut newcomer = account.start_buffer(LONG_MESSAGE);
    let appended = newcomer.append(LATER, &[1; LONG_MESSAGE - 1]);

    expect_that!(appended, eq(Err(BufferError::Full)));
    expect_that!(messages.iter().map(Bytes::len).sum::<usize>(), eq(3 * (LONG_MESSAGE - 1)));
}

#[gtest]
fn long_messages_leave_room_for_short_ones() {
    let account = account();
    let _long = [(); 3].map(|()| unfinished(&account, START).finish().unwrap());

    let short = account.store(START, &[1; 10_000]);

    expect_that!(short.map(|it| it.len()), eq(Ok(10_000)));
}

#[gtest]
fn short_messages_do_not_exceed_the_limit() {
    let account = BufferAccount::new(100_000);

    let stored: Vec<_> = (0..20).map(|_| account.store(START, &[1; 10_000])).collect();

    expect_that!(stored.iter().filter(|it| it.is_ok()).count(), eq(10));
    expect_that!(account.usage().used_bytes, eq(100_000));
}

#[gtest]
fn raised_limit_has_room_for_more() {
    let account = BufferAccount::new(100);
    let _first = account.store(START, &[1; 100]).unwrap();
    expect_that!(account.store(START, &[1; 100]).err(), some(eq(BufferError::Full)));

    account.set_limit(200);

    expect_that!(account.store(START, &[1; 100]).is_ok(), eq(true));
}

fn millis(millis: u64) -> std::time::Duration {
    std::time::Duration::from_millis(millis)
}

/// A step of a random use of an account.
#[derive(Debug, Clone)]
enum Step {
    Start,
    Append { buffer: usize, bytes: usize },
    Finish { buffer: usize },
    Abandon { buffer: usize },
    DropMessage { message: usize },
    Store { bytes: usize },
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Start),
        6 => (0..64_usize, 1..40_000_usize).prop_map(|(buffer, bytes)| Step::Append { buffer, bytes }),
        1 => (0..64_usize).prop_map(|buffer| Step::Finish { buffer }),
        1 => (0..64_usize).prop_map(|buffer| Step::Abandon { buffer }),
        1 => (0..64_usize).prop_map(|message| Step::DropMessage { message }),
        1 => (1..40_000_usize).prop_map(|bytes| Step::Store { bytes }),
        1 => (1..2_000_u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

/// Longest message of the random uses, in bytes.
const MAX_MESSAGE: usize = 100_000;

proptest! {
    /// What is held never exceeds the limit by more than one growing message, and at rest nothing is held.
    #[test]
    fn account_keeps_its_limit_and_returns_to_zero(steps in prop::collection::vec(step(), 1..400)) {
        let limit = 400_000;
        let account = BufferAccount::new(limit);
        let mut now = START;
        let mut buffers: Vec<GrowingBuffer> = Vec::new();
        let mut messages: Vec<Bytes> = Vec::new();
        for step in steps {
            match step {
                Step::Start => buffers.push(account.start_buffer(MAX_MESSAGE)),
                Step::Append { buffer, bytes } if !buffers.is_empty() => {
                    let idx = buffer % buffers.len();
                    let bytes = bytes.min(MAX_MESSAGE - buffers[idx].len());
                    if buffers[idx].append(now, &vec![7; bytes]).is_err() {
                        buffers.swap_remove(idx);
                    }
                }
                Step::Finish { buffer } if !buffers.is_empty() => {
                    let idx = buffer % buffers.len();
                    messages.extend(buffers.swap_remove(idx).finish());
                }
                Step::Abandon { buffer } if !buffers.is_empty() => {
                    let idx = buffer % buffers.len();
                    buffers.swap_remove(idx);
                }
                Step::DropMessage { message } if !messages.is_empty() => {
                    let idx = message % messages.len();
                    messages.swap_remove(idx);
                }
                Step::Store { bytes } => messages.extend(account.store(now, &vec![7; bytes])),
                Step::Wait { millis: pause } => now = now + millis(pause),
                _ => {}
            }
            let used = account.usage().used_bytes;
            prop_assert!(used <= limit + 2 * MAX_MESSAGE, "{used} bytes");
            let held: usize = messages.iter().map(Bytes::len).sum::<usize>()
                + buffers.iter().map(GrowingBuffer::len).sum::<usize>();
            prop_assert!(held <= used, "{held} bytes are held, {used} are counted");
        }
        drop(buffers);
        drop(messages);
        prop_assert_eq!(account.usage().used_bytes, 0);
    }
}

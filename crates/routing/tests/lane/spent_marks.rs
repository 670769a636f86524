//! When a node writes for which services its part of the budget is spent.

use googletest::prelude::*;
use mux_model::{FastSet, ServiceName};
use mux_routing::lane::SpentMarks;

use crate::fixtures::at;

fn services(names: &[&str]) -> FastSet<ServiceName> {
    names.iter().map(|it| ServiceName::from(*it)).collect()
}

fn list(names: &[&str]) -> Vec<ServiceName> {
    names.iter().map(|it| ServiceName::from(*it)).collect()
}

#[gtest]
fn one_more_service_is_written_at_once_and_one_less_is_not() {
    let mut marks = SpentMarks::new(services(&[]));

    let first = marks.on_check(at(0), services(&["a"]));
    marks.on_written(list(&["a"]));
    let same = marks.on_check(at(400), services(&["a"]));
    let more = marks.on_check(at(800), services(&["a", "b"]));
    marks.on_written(list(&["a", "b"]));
    let less = marks.on_check(at(3_000), services(&["b"]));

    expect_that!(first, some(eq(&list(&["a"]))));
    expect_that!(same, none());
    expect_that!(more, some(eq(&list(&["a", "b"]))));
    expect_that!(less, none());
}

#[gtest]
fn marks_are_removed_a_while_after_the_last_of_it() {
    let mut marks = SpentMarks::new(services(&["a"]));
    marks.on_check(at(0), services(&["a"]));

    let early = marks.on_check(at(1_900), services(&[]));
    let due = marks.on_check(at(2_000), services(&[]));
    marks.on_written(Vec::new());
    let later = marks.on_check(at(2_400), services(&[]));

    expect_that!(early, none());
    expect_that!(due, some(is_empty()));
    expect_that!(later, none());
}

/// A write that failed is tried again at the next check.
#[gtest]
fn marks_that_were_not_written_are_asked_for_again() {
    let mut marks = SpentMarks::new(services(&[]));

    let first = marks.on_check(at(0), services(&["a"]));
    let second = marks.on_check(at(400), services(&[]));

    expect_that!(first, eq(&second));
    expect_that!(second, some(eq(&list(&["a"]))));
}

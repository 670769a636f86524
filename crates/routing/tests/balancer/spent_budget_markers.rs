//! When a node writes for which services its part of the budget is spent.

use googletest::prelude::*;
use mux_model::{FastSet, ServiceName};
use mux_routing::balancer::SpentBudgetMarkers;

fn marks(written: &[&str]) -> SpentBudgetMarkers {
    SpentBudgetMarkers::new(names(written).into_iter().collect::<FastSet<_>>())
}

fn names(names: &[&str]) -> Vec<ServiceName> {
    names.iter().map(|it| ServiceName::from(*it)).collect()
}

fn parts(rows: &[(&str, f64)]) -> Vec<(ServiceName, f64)> {
    rows.iter().map(|(name, part)| (ServiceName::from(*name), *part)).collect()
}

#[gtest]
fn one_more_service_is_written_at_once_and_one_less_is_not() {
    let mut marks = marks(&[]);

    let first = marks.pending_update(&parts(&[("a", 0.7), ("b", 0.1)]));
    marks.on_written(names(&["a"]));
    let same = marks.pending_update(&parts(&[("a", 0.9), ("b", 0.5)]));
    let more = marks.pending_update(&parts(&[("a", 0.9), ("b", 0.7)]));
    marks.on_written(names(&["a", "b"]));
    let less = marks.pending_update(&parts(&[("a", 0.1), ("b", 0.7)]));

    expect_that!(first, some(eq(&names(&["a"]))));
    expect_that!(same, none());
    expect_that!(more, some(eq(&names(&["a", "b"]))));
    expect_that!(less, none());
}

/// Services that come close to the share one after the other cost one write.
#[gtest]
fn services_that_are_nearly_spent_are_written_along() {
    let mut marks = marks(&[]);

    let near = marks.pending_update(&parts(&[("a", 0.5), ("b", 0.5)]));
    let both = marks.pending_update(&parts(&[("a", 0.7), ("b", 0.5)]));
    marks.on_written(names(&["a", "b"]));
    let then = marks.pending_update(&parts(&[("a", 0.7), ("b", 0.7)]));

    expect_that!(near, none());
    expect_that!(both, some(eq(&names(&["a", "b"]))));
    expect_that!(then, none());
}

#[gtest]
fn marks_are_removed_once_nothing_is_nearly_spent() {
    let mut marks = marks(&["a"]);

    let early = marks.pending_update(&parts(&[("a", 0.5)]));
    let due = marks.pending_update(&parts(&[("a", 0.4)]));
    marks.on_written(Vec::new());
    let later = marks.pending_update(&parts(&[("a", 0.4)]));

    expect_that!(early, none());
    expect_that!(due, some(is_empty()));
    expect_that!(later, none());
}

/// A write that failed is tried again at the next check.
#[gtest]
fn marks_that_were_not_written_are_asked_for_again() {
    let marks = marks(&[]);

    let first = marks.pending_update(&parts(&[("a", 0.7)]));
    let second = marks.pending_update(&parts(&[("a", 0.7)]));

    expect_that!(first, eq(&second));
    expect_that!(second, some(eq(&names(&["a"]))));
}

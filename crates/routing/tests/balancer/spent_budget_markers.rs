//! Updates of the markers for services whose retry budget is spent.

use googletest::prelude::*;
use mux_model::{FastSet, ServiceName};
use mux_routing::balancer::SpentBudgetMarkers;

fn markers(written: &[&str]) -> SpentBudgetMarkers {
    SpentBudgetMarkers::new(names(written).into_iter().collect::<FastSet<_>>())
}

fn names(names: &[&str]) -> Vec<ServiceName> {
    names.iter().map(|it| ServiceName::from(*it)).collect()
}

fn fractions(rows: &[(&str, f64)]) -> Vec<(ServiceName, f64)> {
    rows.iter().map(|(name, fraction)| (ServiceName::from(*name), *fraction)).collect()
}

#[gtest]
fn additional_service_is_written_at_once_but_removal_is_not() {
    let mut markers = markers(&[]);

    let first = markers.pending_update(&fractions(&[("a", 0.7), ("b", 0.1)]));
    markers.on_written(names(&["a"]));
    let same = markers.pending_update(&fractions(&[("a", 0.9), ("b", 0.5)]));
    let more = markers.pending_update(&fractions(&[("a", 0.9), ("b", 0.7)]));
    markers.on_written(names(&["a", "b"]));
    let less = markers.pending_update(&fractions(&[("a", 0.1), ("b", 0.7)]));

    expect_that!(first, some(eq(&names(&["a"]))));
    expect_that!(same, none());
    expect_that!(more, some(eq(&names(&["a", "b"]))));
    expect_that!(less, none());
}

/// Services that approach the threshold one after another cost a single write.
#[gtest]
fn nearly_spent_services_are_written_together() {
    let mut markers = markers(&[]);

    let near = markers.pending_update(&fractions(&[("a", 0.5), ("b", 0.5)]));
    let both = markers.pending_update(&fractions(&[("a", 0.7), ("b", 0.5)]));
    markers.on_written(names(&["a", "b"]));
    let then = markers.pending_update(&fractions(&[("a", 0.7), ("b", 0.7)]));

    expect_that!(near, none());
    expect_that!(both, some(eq(&names(&["a", "b"]))));
    expect_that!(then, none());
}

#[gtest]
fn markers_are_removed_when_no_service_is_nearly_spent() {
    let mut markers = markers(&["a"]);

    let early = markers.pending_update(&fractions(&[("a", 0.5)]));
    let due = markers.pending_update(&fractions(&[("a", 0.4)]));
    markers.on_written(Vec::new());
    let later = markers.pending_update(&fractions(&[("a", 0.4)]));

    expect_that!(early, none());
    expect_that!(due, some(is_empty()));
    expect_that!(later, none());
}

/// The caller reports only successful writes; after a failed one, the next check returns the same
/// update.
#[gtest]
fn failed_write_is_retried() {
    let markers = markers(&[]);

    let first = markers.pending_update(&fractions(&[("a", 0.7)]));
    let second = markers.pending_update(&fractions(&[("a", 0.7)]));

    expect_that!(first, eq(&second));
    expect_that!(second, some(eq(&names(&["a"]))));
}

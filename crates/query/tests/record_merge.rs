//! Merging of the records of several shards.

use googletest::prelude::*;
use mux_query::{RECORD_BYTES, greatest_records};

fn record(first: u8) -> Vec<u8> {
    let mut record = vec![0; RECORD_BYTES];
    record[0] = first;
    record
}

fn records(firsts: &[u8]) -> Vec<u8> {
    firsts.iter().flat_map(|it| record(*it)).collect()
}

#[gtest]
fn greatest_records_come_first_and_duplicates_are_kept() {
    let remainder = [records(&[4]), vec![255; RECORD_BYTES - 1]].concat();
    let cases = [
        ("two parts", vec![records(&[1, 9]), records(&[5, 2])], 3, records(&[9, 5, 2])),
        ("duplicates", vec![records(&[7, 7]), records(&[7, 1])], 3, records(&[7, 7, 7])),
        ("fewer than requested", vec![records(&[1]), records(&[3])], 9, records(&[3, 1])),
        ("as many as requested", vec![records(&[1, 2])], 2, records(&[2, 1])),
        ("incomplete last record", vec![remainder], 5, records(&[4])),
        ("empty part", vec![vec![], records(&[3])], 5, records(&[3])),
        ("none requested", vec![records(&[3])], 0, vec![]),
        ("no parts", vec![], 3, vec![]),
    ];
    for (name, parts, top, expected) in cases {
        let merged = greatest_records(parts.iter().map(Vec::as_slice), top);

        expect_that!(merged.as_ref(), eq(expected.as_slice()), "{name}");
    }
}

#[gtest]
fn records_with_equal_prefixes_are_ordered_by_later_bytes() {
    let mut greater = record(1);
    greater[RECORD_BYTES - 1] = 1;
    let part = [record(1), greater.clone()].concat();

    let merged = greatest_records([part.as_slice()], 1);

    expect_that!(merged.as_ref(), eq(greater.as_slice()));
}

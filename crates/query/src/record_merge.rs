//! Merges the records of many shards into one answer.

use bytes::{Bytes, BytesMut};

/// Length of a record.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `top` records of all parts, the greatest first, compared byte by byte.
///
/// Equal records all count. A remainder of a part that is shorter than a record is left out.
pub fn greatest_records<'a>(parts: impl IntoIterator<Item = &'a [u8]>, top: usize) -> Bytes {
    let mut records: Vec<&[u8]> = Vec::new();
    for part in parts {
        records.extend(part.chunks_exact(RECORD_BYTES));
    }
    if top < records.len() && 0 < top {
        records.select_nth_unstable_by(top - 1, |lhs, rhs| rhs.cmp(lhs));
    }
    records.truncate(top);
    records.sort_unstable_by(|lhs, rhs| rhs.cmp(lhs));
    let mut merged = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    for record in records {
        merged.extend_from_slice(record);
    }
    merged.freeze()
}

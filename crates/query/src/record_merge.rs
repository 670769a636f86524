//! Merges the records of several shards into one answer.

use bytes::{Bytes, BytesMut};

/// Length of a record in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `top` records of all parts in descending byte order.
///
/// Duplicates are kept. Trailing bytes of a part that do not fill a record are ignored.
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

//! Sizes of the frames between processes, by kind.

use std::collections::BTreeMap;

use citronrill_base::Row;
use citronrill_decide::rows::{RowKind, row_kind};
use citronrill_wire as wire;
use prost::Message;

/// Returns the frame that carries rows between processes.
pub(super) fn rows_frame(rows: &[Row]) -> wire::Frame {
    let rows = rows.iter().map(|row| wire::FeedRow {
        key: row.key.clone(),
        version: row.version,
        body: row.body.clone(),
    });
    wire::FeedRows { id: 1, rows: rows.collect(), sequence: 1, age_ms: 0 }.into()
}

/// Adds the bytes of a frame to the totals by kind.
pub(super) fn count_bytes_by_kind(frame: &wire::Frame, kinds: &mut BTreeMap<&'static str, u64>) {
    let mut add = |kind, bytes: usize| *kinds.entry(kind).or_insert(0) += bytes as u64;
    match &frame.kind {
        Some(wire::Kind::FeedRows(rows)) => {
            add("feed headers", 54);
            for row in &rows.rows {
                add(row_kind_name(&row.key), row.encoded_len() + 2);
            }
        }
        Some(wire::Kind::Demand(_)) => add("demand", frame_bytes(frame) as usize),
        _ => add("other", frame_bytes(frame) as usize),
    }
}

fn row_kind_name(key: &str) -> &'static str {
    match row_kind(key) {
        RowKind::Endpoint(_) => "endpoint rows",
        RowKind::Model(_) => "model rows",
        RowKind::Share(..) => "share rows",
        RowKind::Permits => "permit rows",
        RowKind::Member(_) => "member rows",
        RowKind::Cache(_) => "cache rows",
        RowKind::Head | RowKind::Delta | RowKind::Other => "text rows",
    }
}

/// Returns the bytes of a frame on a connection, with its length prefix and the TCP and IP headers.
pub(super) fn frame_bytes(frame: &wire::Frame) -> u64 {
    const HEADERS: usize = 4 + 40;
    (frame.encoded_len() + HEADERS) as u64
}

//! Output as JSON or as human-readable tables.

use clap::ValueEnum;
use serde::Serialize;

use super::errors::CommandError;

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum OutputFormat {
    /// One JSON document.
    Json,
    /// Aligned columns.
    Table,
}

/// Prints a value as indented JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(value).map_err(|error| {
        CommandError::Failed(format!("cannot serialize the output as JSON: {error}"))
    })?;
    println!("{text}");
    Ok(())
}

/// Prints a header and rows, with each column as wide as its widest cell.
pub(crate) fn print_table<const COLUMNS: usize>(
    header: [&str; COLUMNS],
    rows: &[[String; COLUMNS]],
) {
    let mut widths = header.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = cell.len().max(*width);
        }
    }
    print_row(&header.map(str::to_owned), &widths);
    for row in rows {
        print_row(row, &widths);
    }
}

fn print_row<const COLUMNS: usize>(row: &[String; COLUMNS], widths: &[usize; COLUMNS]) {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}", width = *width))
        .collect();
    println!("{}", cells.join("  ").trim_end());
}

//! Plain-text tables for the output that operators read.

/// Formats rows under a header row, each column as wide as its widest cell.
pub(crate) fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = head.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let head: Vec<String> = head.iter().map(|cell| (*cell).to_owned()).collect();
    let lines = std::iter::once(&head)
        .chain(rows)
        .map(|row| line(row, &widths));
    lines.collect::<Vec<_>>().join("\n")
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:width$}"));
    cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
}

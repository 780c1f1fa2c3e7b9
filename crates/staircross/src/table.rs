//! Plain-text tables for terminals.

/// Renders rows under a header, with each column padded to its widest cell.
pub fn render(columns: &[String], rows: &[Vec<String>]) -> String {
    let widths: Vec<usize> = (0..columns.len())
        .map(|index| {
            let cells = rows.iter().filter_map(|row| row.get(index)).map(|cell| cell.chars().count());
            cells.chain([columns[index].chars().count()]).max().unwrap_or(0)
        })
        .collect();
    let mut text = render_row(columns, &widths);
    let separator: Vec<String> = widths.iter().map(|width| "-".repeat(*width)).collect();
    text.push_str(&render_row(&separator, &widths));
    for row in rows {
        text.push_str(&render_row(row, &widths));
    }
    text
}

fn render_row(cells: &[String], widths: &[usize]) -> String {
    let padded: Vec<String> = cells.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}")).collect();
    format!("{}\n", padded.join("  ").trim_end())
}

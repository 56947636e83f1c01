//! Plain-text tables with aligned columns.

/// A table whose columns are padded to their widest cell.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a header row.
    pub(crate) fn new(header: &[&str]) -> Table {
        let mut table = Table { rows: Vec::new() };
        table.push_row(header);
        table
    }

    /// Appends a row.
    pub(crate) fn push_row<S>(&mut self, cells: &[S])
    where
        S: AsRef<str>,
    {
        let cells = cells
            .iter()
            .map(|cell| replace_control_chars(cell.as_ref()));
        self.rows.push(cells.collect());
    }

    /// Returns the table as text, one row per line.
    pub(crate) fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let line: Vec<String> = cells
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            text.push_str(line.join("  ").trim_end());
            text.push('\n');
        }
        text
    }
}

/// Replaces control characters, which could manipulate the terminal.
fn replace_control_chars(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { '\u{fffd}' } else { c })
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn render_aligned_and_printable() {
        let mut table = Table::new(&["name", "state"]);
        table.push_row(&["skriver-1", "serving"]);
        table.push_row(&["a\u{1b}[2J", ""]);
        assert_eq!(
            table.render(),
            "name       state\nskriver-1  serving\na\u{fffd}[2J\n"
        );
    }
}

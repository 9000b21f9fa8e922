/// Text table whose columns are as wide as their widest cell. The first row is the head.
#[derive(Debug)]
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

const COLUMN_GAP: &str = "  ";

impl Table {
    pub fn new(head: &[&str]) -> Self {
        Self {
            rows: vec![head.iter().map(|cell| (*cell).to_owned()).collect()],
        }
    }

    pub fn push_row(&mut self, cells: &[&dyn ToString]) {
        self.rows
            .push(cells.iter().map(|cell| cell.to_string()).collect());
    }

    pub fn to_text(&self) -> String {
        let columns = self.rows[0].len();
        let width = |column: usize| {
            self.rows
                .iter()
                .map(|row| row[column].chars().count())
                .max()
                .unwrap_or_default()
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let lines: Vec<String> = self
            .rows
            .iter()
            .map(|row| format_row(row, &widths))
            .collect();
        lines.concat()
    }
}

fn format_row(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    format!("{}\n", cells.join(COLUMN_GAP).trim_end())
}

/// Columns of text, each as wide as its widest cell.
#[derive(Debug)]
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

const GAP: &str = "  ";

impl Table {
    pub fn new(head: &[&str]) -> Self {
        Self {
            rows: vec![head.iter().map(|cell| (*cell).to_owned()).collect()],
        }
    }

    pub fn row(&mut self, cells: &[&dyn ToString]) {
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
        let lines: Vec<String> = self.rows.iter().map(|row| line(row, &widths)).collect();
        lines.concat()
    }
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    format!("{}\n", cells.join(GAP).trim_end())
}

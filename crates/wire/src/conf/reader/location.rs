use {
    super::node::Node,
    crate::conf::fault::{ConfFault, FaultKind},
};

/// A node and its path from the root of the file.
#[derive(Debug, Clone)]
pub(crate) struct Location<'n> {
    pub path: String,
    pub node: &'n Node,
}

impl<'n> Location<'n> {
    /// Returns the location of the root node, with an empty path.
    pub fn root(node: &'n Node) -> Self {
        Self {
            path: String::new(),
            node,
        }
    }

    /// Returns the path of a field of this object.
    pub fn field_path(&self, field: &str) -> String {
        if self.path.is_empty() {
            return field.to_owned();
        }
        format!("{}.{field}", self.path)
    }

    /// Returns the path of an item of this list, counted from 0.
    pub fn item_path(&self, index: usize) -> String {
        format!("{}[{index}]", self.path)
    }

    /// Returns the last field name of the path without list indices. Its suffix may state a unit.
    pub fn field_name(&self) -> &str {
        let last = self.path.rsplit('.').next().unwrap_or_default();
        last.split('[').next().unwrap_or_default()
    }

    /// Combines a value that was read here with the path and line of this location.
    pub fn locate<T>(&self, value: T) -> Located<T> {
        Located {
            path: self.path.clone(),
            line: self.node.line,
            value,
        }
    }
}

/// A value with its path and line, for faults that are found by comparing several fields.
#[derive(Debug, Clone)]
pub(crate) struct Located<T> {
    pub path: String,
    pub line: usize,
    pub value: T,
}

/// The faults found so far.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    list: Vec<ConfFault>,
}

impl Faults {
    pub fn add(&mut self, location: &Location<'_>, kind: FaultKind) {
        self.add_at(location.node.line, location.path.clone(), kind);
    }

    pub fn add_at(&mut self, line: usize, path: String, kind: FaultKind) {
        self.list.push(ConfFault { line, path, kind });
    }

    pub fn count(&self) -> usize {
        self.list.len()
    }

    /// Returns the value if there are no faults, otherwise all faults ordered by line.
    pub fn into_result<T>(mut self, value: Option<T>) -> Result<T, Vec<ConfFault>> {
        match value {
            Some(value) if self.list.is_empty() => Ok(value),
            _ => {
                self.list.sort_by_key(|fault| fault.line);
                Err(self.list)
            }
        }
    }
}

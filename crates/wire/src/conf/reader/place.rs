use {
    super::node::Node,
    crate::conf::fault::{ConfFault, FaultKind},
};

/// A node and the path that leads to it.
#[derive(Debug, Clone)]
pub(crate) struct Place<'n> {
    pub path: String,
    pub node: &'n Node,
}

impl<'n> Place<'n> {
    /// The root of a file.
    pub fn root(node: &'n Node) -> Self {
        Self {
            path: String::new(),
            node,
        }
    }

    /// Path of a field of this object.
    pub fn path_of(&self, field: &str) -> String {
        if self.path.is_empty() {
            return field.to_owned();
        }
        format!("{}.{field}", self.path)
    }

    /// Path of an item of this list.
    pub fn path_at(&self, index: usize) -> String {
        format!("{}[{index}]", self.path)
    }

    /// The last field name of the path, whose suffix states the unit.
    pub fn field_name(&self) -> &str {
        let last = self.path.rsplit('.').next().unwrap_or_default();
        last.split('[').next().unwrap_or_default()
    }

    /// Puts a value read here together with where it was read.
    pub fn with<T>(&self, value: T) -> Placed<T> {
        Placed {
            path: self.path.clone(),
            line: self.node.line,
            value,
        }
    }
}

/// A value that remembers where it stood, for checks across fields.
#[derive(Debug, Clone)]
pub(crate) struct Placed<T> {
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
    pub fn add(&mut self, place: &Place<'_>, kind: FaultKind) {
        self.add_at(place.node.line, place.path.clone(), kind);
    }

    pub fn add_at(&mut self, line: usize, path: String, kind: FaultKind) {
        self.list.push(ConfFault { line, path, kind });
    }

    pub fn count(&self) -> usize {
        self.list.len()
    }

    /// The value if it was read without faults; else all faults, by line.
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

use {
    super::{
        Faults, Location, NodeValue,
        node::{Field, Node},
        units,
    },
    crate::conf::fault::FaultKind,
};

/// Reads the fields of one object and records which ones were read. `finish` reports all others as
/// unknown.
#[derive(Debug)]
pub(crate) struct ObjectReader<'n> {
    location: Location<'n>,
    fields: &'n [Field],
    known: Vec<&'static str>,
    missing: Vec<(&'static str, &'static str)>,
}

impl<'n> ObjectReader<'n> {
    /// Starts to read the object at `location`. Reports a fault if the value is not an object.
    pub fn open(location: &Location<'n>, faults: &mut Faults) -> Option<Self> {
        let node: &'n Node = location.node;
        let NodeValue::Object(fields) = &node.value else {
            let found = node.value.type_name();
            let expected = "an object in braces".to_owned();
            faults.add(location, FaultKind::WrongType { found, expected });
            return None;
        };
        Some(Self {
            location: location.clone(),
            fields,
            known: Vec::new(),
            missing: Vec::new(),
        })
    }

    /// Reads a required field. If it is absent, `finish` reports that with `example` as its value.
    pub fn required<T>(
        &mut self,
        name: &'static str,
        example: &'static str,
        faults: &mut Faults,
        read: impl FnOnce(&Location<'n>, &mut Faults) -> Option<T>,
    ) -> Option<T> {
        let Some(location) = self.find(name) else {
            self.missing.push((name, example));
            return None;
        };
        read(&location, faults)
    }

    /// Reads an optional field, whose value is `absent` if the object doesn't contain it.
    pub fn with_default<T>(
        &mut self,
        name: &'static str,
        absent: T,
        faults: &mut Faults,
        read: impl FnOnce(&Location<'n>, &mut Faults) -> Option<T>,
    ) -> Option<T> {
        match self.find(name) {
            Some(location) => read(&location, faults),
            None => Some(absent),
        }
    }

    /// Reads an optional field; both an absent field and null are read as `Some(None)`.
    #[expect(
        clippy::option_option,
        reason = "the outer option is None after a fault, the inner one if the field is absent"
    )]
    pub fn optional<T>(
        &mut self,
        name: &'static str,
        faults: &mut Faults,
        read: impl FnOnce(&Location<'n>, &mut Faults) -> Option<T>,
    ) -> Option<Option<T>> {
        match self.find(name) {
            Some(location) if location.node.value != NodeValue::Null => {
                read(&location, faults).map(Some)
            }
            _ => Some(None),
        }
    }

    /// Reports missing, unknown and duplicate fields.
    pub fn finish(self, faults: &mut Faults) {
        let mut suggested = Vec::new();
        for (index, field) in self.fields.iter().enumerate() {
            let path = self.location.field_path(&field.name);
            if let Some(first) = self.fields[..index].iter().find(|it| it.name == field.name) {
                let what = format!("the field `{}`", units::truncate(&field.name));
                faults.add_at(
                    field.line,
                    path,
                    FaultKind::Duplicate {
                        what,
                        first_line: first.line,
                    },
                );
            } else if !self.known.contains(&field.name.as_str()) {
                let kind = self.unknown_field(&field.name);
                if let FaultKind::Misspelt { suggestion, .. } = kind {
                    suggested.push(suggestion);
                }
                faults.add_at(field.line, units::truncate(&path), kind);
            }
        }
        self.report_missing(&suggested, faults);
    }

    /// Reports missing fields only: for an object whose `type` is faulty, the set of known fields
    /// can't be determined.
    pub fn finish_untyped(self, faults: &mut Faults) {
        self.report_missing(&[], faults);
    }

    /// Reports missing fields except the `suggested` ones, so that a misspelt field is reported
    /// once and not as both unknown and missing.
    fn report_missing(&self, suggested: &[&str], faults: &mut Faults) {
        for (name, example) in self
            .missing
            .iter()
            .filter(|(name, _)| !suggested.contains(name))
        {
            let kind = FaultKind::Missing {
                example: format!("\"{name}\": {example}"),
            };
            faults.add_at(
                self.location.node.line,
                self.location.field_path(name),
                kind,
            );
        }
    }

    fn find(&mut self, name: &'static str) -> Option<Location<'n>> {
        self.known.push(name);
        let field = self.fields.iter().find(|field| field.name == name)?;
        Some(Location {
            path: self.location.field_path(name),
            node: &field.node,
        })
    }

    fn unknown_field(&self, name: &str) -> FaultKind {
        let absent = |known: &&&'static str| !self.fields.iter().any(|it| it.name == **known);
        match self
            .known
            .iter()
            .filter(absent)
            .find(|known| units::is_similar(name, known))
        {
            Some(suggestion) => FaultKind::Misspelt {
                suggestion,
                unit: units::unit_of(suggestion),
            },
            None => FaultKind::UnknownField {
                known: self.known.clone(),
            },
        }
    }
}

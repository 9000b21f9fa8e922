use {
    super::{
        Faults, NodeValue, Place,
        node::{Field, Node},
        units,
    },
    crate::conf::fault::FaultKind,
};

/// Reads the fields of one object. Fields that nobody asked for are reported by `close`.
#[derive(Debug)]
pub(crate) struct ObjectReader<'n> {
    place: Place<'n>,
    fields: &'n [Field],
    known: Vec<&'static str>,
    missing: Vec<(&'static str, &'static str)>,
}

impl<'n> ObjectReader<'n> {
    /// Begins to read; anything but an object is a fault.
    pub fn open(place: &Place<'n>, faults: &mut Faults) -> Option<Self> {
        let node: &'n Node = place.node;
        let NodeValue::Object(fields) = &node.value else {
            let found = node.value.type_name();
            let expected = "an object in braces".to_owned();
            faults.add(place, FaultKind::WrongType { found, expected });
            return None;
        };
        Some(Self {
            place: place.clone(),
            fields,
            known: Vec::new(),
            missing: Vec::new(),
        })
    }

    /// Reads a field that must be there. `example` is its value in the message if it isn't.
    pub fn required<T>(
        &mut self,
        name: &'static str,
        example: &'static str,
        faults: &mut Faults,
        read: impl FnOnce(&Place<'n>, &mut Faults) -> Option<T>,
    ) -> Option<T> {
        let Some(place) = self.find(name) else {
            self.missing.push((name, example));
            return None;
        };
        read(&place, faults)
    }

    /// Reads a field that has a value also where it is absent.
    pub fn or<T>(
        &mut self,
        name: &'static str,
        absent: T,
        faults: &mut Faults,
        read: impl FnOnce(&Place<'n>, &mut Faults) -> Option<T>,
    ) -> Option<T> {
        match self.find(name) {
            Some(place) => read(&place, faults),
            None => Some(absent),
        }
    }

    /// Reads a field that may be absent or null.
    #[expect(
        clippy::option_option,
        reason = "the outer one tells a fault, the inner one absence"
    )]
    pub fn optional<T>(
        &mut self,
        name: &'static str,
        faults: &mut Faults,
        read: impl FnOnce(&Place<'n>, &mut Faults) -> Option<T>,
    ) -> Option<Option<T>> {
        match self.find(name) {
            Some(place) if place.node.value != NodeValue::Null => read(&place, faults).map(Some),
            _ => Some(None),
        }
    }

    /// Reports fields that are missing, unknown or doubled.
    pub fn close(self, faults: &mut Faults) {
        let mut meant = Vec::new();
        for (index, field) in self.fields.iter().enumerate() {
            let path = self.place.path_of(&field.name);
            if let Some(first) = self.fields[..index].iter().find(|it| it.name == field.name) {
                let what = format!("the field `{}`", units::shown(&field.name));
                faults.add_at(
                    field.line,
                    path,
                    FaultKind::Twice {
                        what,
                        first_line: first.line,
                    },
                );
            } else if !self.known.contains(&field.name.as_str()) {
                let kind = self.unknown(&field.name);
                if let FaultKind::Misspelt { meant: name, .. } = kind {
                    meant.push(name);
                }
                faults.add_at(field.line, units::shown(&path), kind);
            }
        }
        self.report_missing(&meant, faults);
    }

    /// Reports missing fields only: which others belong depends on a field that was faulty.
    pub fn close_untyped(self, faults: &mut Faults) {
        self.report_missing(&[], faults);
    }

    /// Reports missing fields but for those of `meant`: a misspelt field is told once, not as
    /// unknown and missing.
    fn report_missing(&self, meant: &[&str], faults: &mut Faults) {
        for (name, example) in self
            .missing
            .iter()
            .filter(|(name, _)| !meant.contains(name))
        {
            let kind = FaultKind::Missing {
                example: format!("\"{name}\": {example}"),
            };
            faults.add_at(self.place.node.line, self.place.path_of(name), kind);
        }
    }

    fn find(&mut self, name: &'static str) -> Option<Place<'n>> {
        self.known.push(name);
        let field = self.fields.iter().find(|field| field.name == name)?;
        Some(Place {
            path: self.place.path_of(name),
            node: &field.node,
        })
    }

    fn unknown(&self, name: &str) -> FaultKind {
        let absent = |known: &&&'static str| !self.fields.iter().any(|it| it.name == **known);
        match self
            .known
            .iter()
            .filter(absent)
            .find(|known| units::similar(name, known))
        {
            Some(meant) => FaultKind::Misspelt {
                meant,
                unit: units::unit_of(meant),
            },
            None => FaultKind::UnknownField {
                known: self.known.clone(),
            },
        }
    }
}

use {crate::record, std::fmt, thiserror::Error};

/// Deepest nesting that is read. Parsing recurses, and a file of brackets alone would otherwise
/// exhaust the stack and end the process.
pub const MAX_DEPTH: usize = 32;

/// One fault of a settings or record file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct ConfFault {
    /// Line of the file, counted from 1.
    pub line: usize,
    /// Path of the field, such as `limits.max_body_bytes`; empty where the whole file is meant.
    pub path: String,
    /// What is wrong and what to write instead.
    pub kind: FaultKind,
}

impl fmt::Display for ConfFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            return write!(out, "line {}: {}", self.line, self.kind);
        }
        write!(out, "line {}, `{}`: {}", self.line, self.path, self.kind)
    }
}

/// What is wrong with a field. Each message ends with the remedy.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FaultKind {
    /// The text can't be parsed.
    #[error("the text is not valid JSON with comments ({detail}): mend the syntax here")]
    Syntax {
        /// What the parser says.
        detail: String,
    },
    /// Objects and lists are nested too deeply.
    #[error("values are nested deeper than {MAX_DEPTH} levels: write them flat")]
    TooDeep,
    /// Nothing of this name is read.
    #[error("this field is not known: write one of {}", known.join(", "))]
    UnknownField {
        /// The fields that are read at this place.
        known: Vec<&'static str>,
    },
    /// Nothing of this name is read, but something of a similar one.
    #[error("this field is not known: write `{meant}`{}", unit_note(*unit))]
    Misspelt {
        /// The field that was probably meant.
        meant: &'static str,
        /// Unit of that field, if it has one.
        unit: Option<&'static str>,
    },
    /// A required field is absent.
    #[error("this field is missing: add it, such as {example}")]
    Missing {
        /// An example of the field.
        example: String,
    },
    /// A value of another type is needed.
    #[error("found {found}: write {expected}")]
    WrongType {
        /// Type of the value that was found.
        found: &'static str,
        /// What is needed.
        expected: String,
    },
    /// A number is written as text with a unit.
    #[error("found the text {found:?}: write a number{} without quotes or unit{}",
        unit.map(|name| format!(" of {name}")).unwrap_or_default(),
        plain.map(|number| format!(", here {number}")).unwrap_or_default())]
    WrongUnit {
        /// The text, cut to a length fit for a line.
        found: String,
        /// Unit that the field's name states, if it does.
        unit: Option<&'static str>,
        /// The same value in that unit, if it could be told.
        plain: Option<u64>,
    },
    /// A number is too small, too large or not whole.
    #[error("found {found}: write {expected}")]
    OutOfRange {
        /// The number.
        found: String,
        /// What is accepted.
        expected: String,
    },
    /// A text isn't an IP address with a port.
    #[error("{found:?} is not an address: write an IP number and a port, such as 10.0.0.1:7001")]
    BadAddress {
        /// The text, cut to a length fit for a line.
        found: String,
    },
    /// Others can't connect to the address.
    #[error("others can't connect to {found}: write the IP number and port that they use")]
    Unreachable {
        /// The address.
        found: String,
    },
    /// The same thing stands twice.
    #[error("{what} stands on line {first_line} already: write it once")]
    Twice {
        /// What is doubled.
        what: String,
        /// Where it stands first.
        first_line: usize,
    },
    /// A text or list must hold something.
    #[error("this is empty: write {expected}")]
    Empty {
        /// What is needed.
        expected: &'static str,
    },
    /// A text isn't one of those accepted.
    #[error("{found:?} is not accepted: write {expected}")]
    BadText {
        /// The text, cut to a length fit for a line.
        found: String,
        /// What is accepted.
        expected: String,
    },
    /// The schema version of a record isn't known.
    #[error(
        "schema {found} is not known: write schema {} to {}",
        record::OLDEST_SCHEMA,
        record::NEWEST_SCHEMA
    )]
    UnknownSchema {
        /// The version that the record states.
        found: u32,
    },
    /// The shares of a route don't make a whole.
    #[error("the shares add up to {total}: make them add up to 1000")]
    Shares {
        /// Their sum.
        total: u64,
    },
}

fn unit_note(unit: Option<&str>) -> String {
    unit.map(|name| format!(", in {name}")).unwrap_or_default()
}

use {crate::record, std::fmt, thiserror::Error};

/// Maximum nesting depth of a file. The parser recurses, so that a file with nothing but opening
/// brackets would otherwise overflow the stack and abort the process.
pub const MAX_DEPTH: usize = 32;

/// One fault in a settings or record file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct ConfFault {
    /// Line number, from 1.
    pub line: usize,
    /// Path of the field, such as `limits.max_body_bytes`; empty if the fault concerns the whole
    /// file.
    pub path: String,
    /// Kind of the fault. Its message describes the fault and the remedy.
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

/// The kind of a fault. Each message ends with the remedy.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FaultKind {
    /// The file can't be parsed.
    #[error("the text is not valid JSON with comments ({detail}): fix the syntax here")]
    Syntax {
        /// Message of the parser.
        detail: String,
    },
    /// Objects and lists are nested deeper than `MAX_DEPTH` levels.
    #[error("values are nested deeper than {MAX_DEPTH} levels: reduce the nesting")]
    TooDeep,
    /// The object has no field of this name, nor one of a similar name.
    #[error("this field is not known: write one of {}", known.join(", "))]
    UnknownField {
        /// Names of all fields of the object.
        known: Vec<&'static str>,
    },
    /// The object has no field of this name, but one of a similar name.
    #[error("this field is not known: write `{suggestion}`{}", unit_note(*unit))]
    Misspelt {
        /// Name of the similar field, which was probably intended.
        suggestion: &'static str,
        /// Unit of that field, if its name states one.
        unit: Option<&'static str>,
    },
    /// A required field is absent.
    #[error("this field is missing: add it, such as {example}")]
    Missing {
        /// Example of the field, with name and value.
        example: String,
    },
    /// The value has the wrong JSON type.
    #[error("found {found}: write {expected}")]
    WrongType {
        /// Type of the value in the file.
        found: &'static str,
        /// Description of the accepted values.
        expected: String,
    },
    /// A number is written as a string, often with a unit.
    #[error("found the text {found:?}: write a number{} without quotes or unit{}",
        unit.map(|name| format!(" of {name}")).unwrap_or_default(),
        converted.map(|number| format!(", here {number}")).unwrap_or_default())]
    WrongUnit {
        /// The string, truncated for display.
        found: String,
        /// Unit that the field's name states, if any.
        unit: Option<&'static str>,
        /// The value converted to that unit, if the string could be parsed.
        converted: Option<u64>,
    },
    /// A number is too small, too large or not an integer, or a value has the wrong size.
    #[error("found {found}: write {expected}")]
    OutOfRange {
        /// The number, or a description of the size.
        found: String,
        /// Description of the accepted values.
        expected: String,
    },
    /// A string is not an IP address with a port.
    #[error("{found:?} is not an address: write an IP number and a port, such as 10.0.0.1:7001")]
    BadAddress {
        /// The string, truncated for display.
        found: String,
    },
    /// Other hosts can't connect to the address: it is unspecified (`0.0.0.0`, `::`) or its port
    /// is 0.
    #[error("other hosts can't connect to {found}: write the IP number and port that they use")]
    Unreachable {
        /// The address in the file.
        found: String,
    },
    /// A field, key or address that must be unique appears twice.
    #[error("{what} already appears on line {first_line}: use it only once")]
    Duplicate {
        /// Description of the repeated item.
        what: String,
        /// Line of its first occurrence.
        first_line: usize,
    },
    /// A required string is empty or blank.
    #[error("this is empty: write {expected}")]
    Empty {
        /// Description of the accepted values.
        expected: &'static str,
    },
    /// A string has a form or value that is not accepted.
    #[error("{found:?} is not accepted: write {expected}")]
    InvalidString {
        /// The string, truncated for display.
        found: String,
        /// Description of the accepted values.
        expected: String,
    },
    /// The schema version of a record is not supported.
    #[error(
        "schema {found} is not supported: write schema {} to {}",
        record::OLDEST_SCHEMA,
        record::NEWEST_SCHEMA
    )]
    UnknownSchema {
        /// The version that the record states.
        found: u32,
    },
    /// The shares of a route don't add up to 1,000 thousandths.
    #[error("the shares add up to {total}: make them add up to 1000")]
    ShareSum {
        /// Sum of the shares, in thousandths.
        total: u64,
    },
}

fn unit_note(unit: Option<&str>) -> String {
    unit.map(|name| format!(", in {name}")).unwrap_or_default()
}

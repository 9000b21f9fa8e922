use serde_json::Number;

/// A JSON value and the line on which it begins.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Node {
    /// Line number, from 1.
    pub line: usize,
    pub value: NodeValue,
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum NodeValue {
    Null,
    Bool(bool),
    Number(Number),
    String(String),
    List(Vec<Node>),
    Object(Vec<Field>),
}

/// A field of an object. Duplicate fields are kept, so that they can be reported.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Field {
    pub name: String,
    pub line: usize,
    pub node: Node,
}

impl NodeValue {
    /// Returns the name of the JSON type for fault messages.
    pub fn type_name(&self) -> &'static str {
        match self {
            Self::Null => "null",
            Self::Bool(_) => "true or false",
            Self::Number(_) => "a number",
            Self::String(_) => "a string",
            Self::List(_) => "a list",
            Self::Object(_) => "an object",
        }
    }
}

impl Node {
    /// Converts the value to JSON without comments.
    pub fn to_json(&self) -> serde_json::Value {
        match &self.value {
            NodeValue::Null => serde_json::Value::Null,
            NodeValue::Bool(flag) => serde_json::Value::Bool(*flag),
            NodeValue::Number(number) => serde_json::Value::Number(number.clone()),
            NodeValue::String(text) => serde_json::Value::String(text.clone()),
            NodeValue::List(items) => items.iter().map(Self::to_json).collect(),
            NodeValue::Object(fields) => fields
                .iter()
                .map(|field| (field.name.clone(), field.node.to_json()))
                .collect(),
        }
    }
}

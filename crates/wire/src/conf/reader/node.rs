use serde_json::Number;

/// A JSON value and the line it begins on.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Node {
    /// Counted from 1.
    pub line: usize,
    pub value: NodeValue,
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum NodeValue {
    Null,
    Flag(bool),
    Number(Number),
    Text(String),
    List(Vec<Node>),
    Object(Vec<Field>),
}

/// A field of an object. Doubled fields are kept, so that they can be reported.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Field {
    pub name: String,
    pub line: usize,
    pub node: Node,
}

impl NodeValue {
    /// The type as fault messages tell it.
    pub fn type_name(&self) -> &'static str {
        match self {
            Self::Null => "null",
            Self::Flag(_) => "true or false",
            Self::Number(_) => "a number",
            Self::Text(_) => "a text",
            Self::List(_) => "a list",
            Self::Object(_) => "an object",
        }
    }
}

impl Node {
    /// The same value as JSON without comments.
    pub fn to_json(&self) -> serde_json::Value {
        match &self.value {
            NodeValue::Null => serde_json::Value::Null,
            NodeValue::Flag(flag) => serde_json::Value::Bool(*flag),
            NodeValue::Number(number) => serde_json::Value::Number(number.clone()),
            NodeValue::Text(text) => serde_json::Value::String(text.clone()),
            NodeValue::List(items) => items.iter().map(Self::to_json).collect(),
            NodeValue::Object(fields) => fields
                .iter()
                .map(|field| (field.name.clone(), field.node.to_json()))
                .collect(),
        }
    }
}

use {
    super::node::{Field, Node, NodeValue},
    serde::{
        Deserialize, Deserializer,
        de::{MapAccess, SeqAccess, Visitor},
    },
    serde_json::Number,
    std::fmt,
};

/// Line number of each node: faults in a published record are located by path only.
const ONLY_LINE: usize = 1;

/// Parses JSON without comments.
pub(crate) fn parse_json(text: &str) -> Result<Node, serde_json::Error> {
    serde_json::from_str(text)
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = deserializer.deserialize_any(ValueVisitor)?;
        Ok(Self {
            line: ONLY_LINE,
            value,
        })
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = NodeValue;

    fn expecting(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<NodeValue, E> {
        Ok(NodeValue::Null)
    }

    fn visit_bool<E>(self, flag: bool) -> Result<NodeValue, E> {
        Ok(NodeValue::Bool(flag))
    }

    fn visit_u64<E>(self, number: u64) -> Result<NodeValue, E> {
        Ok(NodeValue::Number(number.into()))
    }

    fn visit_i64<E>(self, number: i64) -> Result<NodeValue, E> {
        Ok(NodeValue::Number(number.into()))
    }

    fn visit_f64<E>(self, number: f64) -> Result<NodeValue, E> {
        Ok(Number::from_f64(number).map_or(NodeValue::Null, NodeValue::Number))
    }

    fn visit_str<E>(self, text: &str) -> Result<NodeValue, E> {
        Ok(NodeValue::String(text.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<NodeValue, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = items.next_element()? {
            list.push(item);
        }
        Ok(NodeValue::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<NodeValue, A::Error> {
        let mut fields = Vec::new();
        while let Some((name, node)) = entries.next_entry()? {
            fields.push(Field {
                name,
                line: ONLY_LINE,
                node,
            });
        }
        Ok(NodeValue::Object(fields))
    }
}

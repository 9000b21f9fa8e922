use {
    super::node::{Field, Node, NodeValue},
    crate::conf::fault::{ConfFault, FaultKind, MAX_DEPTH},
    jsonc_parser::{
        CollectOptions, ParseOptions,
        ast::{ObjectPropName, Value},
        common::Ranged,
        errors::ParseError,
        parse_to_ast,
        tokens::Token,
    },
    serde_json::Number,
};

/// Comments and trailing commas are accepted; names of fields must be in quotes, as in JSON.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
};

/// Parses JSON with comments and trailing commas.
pub(crate) fn parse_jsonc(text: &str) -> Result<Node, ConfFault> {
    let lines = LineIndex::new(text);
    check_tokens(text, &lines)?;
    let parsed = parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS)
        .map_err(|error| syntax_error(&error))?;
    let value = parsed.value.ok_or_else(|| syntax(1, "the file is empty"))?;
    to_node(&value, &lines)
}

/// Rejects input that the parser accepts although it is invalid (missing commas, strings in single
/// quotes) and nesting so deep that the recursive parser would overflow its stack.
fn check_tokens(text: &str, lines: &LineIndex) -> Result<(), ConfFault> {
    let mut scanner = jsonc_parser::Scanner::new(text);
    let mut depth = 0_usize;
    let mut after_value = false;
    while let Some(token) = scanner.scan().map_err(|error| syntax_error(&error))? {
        if matches!(token, Token::CommentLine(_) | Token::CommentBlock(_)) {
            continue;
        }
        let line = lines.line_of(scanner.token_start());
        if after_value && starts_value(&token) {
            return Err(syntax(line, "a comma is missing before this item"));
        }
        if matches!(token, Token::String(_)) && text[scanner.token_start()..].starts_with('\'') {
            return Err(syntax(line, "strings must be in double quotes"));
        }
        match token {
            Token::OpenBrace | Token::OpenBracket => depth += 1,
            Token::CloseBrace | Token::CloseBracket => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Err(ConfFault {
                line,
                path: String::new(),
                kind: FaultKind::TooDeep,
            });
        }
        after_value = ends_value(&token);
    }
    Ok(())
}

fn starts_value(token: &Token<'_>) -> bool {
    matches!(
        token,
        Token::OpenBrace | Token::OpenBracket | Token::Word(_)
    ) || is_scalar(token)
}

fn ends_value(token: &Token<'_>) -> bool {
    matches!(
        token,
        Token::CloseBrace | Token::CloseBracket | Token::Word(_)
    ) || is_scalar(token)
}

fn is_scalar(token: &Token<'_>) -> bool {
    matches!(
        token,
        Token::String(_) | Token::Number(_) | Token::Boolean(_) | Token::Null
    )
}

fn to_node(value: &Value<'_>, lines: &LineIndex) -> Result<Node, ConfFault> {
    let line = lines.line_of(value.start());
    let value = match value {
        Value::NullKeyword(_) => NodeValue::Null,
        Value::BooleanLit(flag) => NodeValue::Bool(flag.value),
        Value::NumberLit(number) => NodeValue::Number(to_number(number.value, line)?),
        Value::StringLit(text) => NodeValue::String(text.value.clone().into_owned()),
        Value::Array(array) => {
            let items = array.elements.iter().map(|item| to_node(item, lines));
            NodeValue::List(items.collect::<Result<_, _>>()?)
        }
        Value::Object(object) => {
            let fields = object.properties.iter().map(|property| {
                let name = match &property.name {
                    ObjectPropName::String(text) => text.value.clone().into_owned(),
                    ObjectPropName::Word(word) => word.value.to_owned(),
                };
                let line = lines.line_of(property.start());
                Ok(Field {
                    name,
                    line,
                    node: to_node(&property.value, lines)?,
                })
            });
            NodeValue::Object(fields.collect::<Result<_, _>>()?)
        }
    };
    Ok(Node { line, value })
}

fn to_number(text: &str, line: usize) -> Result<Number, ConfFault> {
    text.parse()
        .map_err(|_not_finite| syntax(line, "the number can't be represented"))
}

fn syntax_error(error: &ParseError) -> ConfFault {
    syntax(error.line_display(), &error.kind().to_string())
}

fn syntax(line: usize, detail: &str) -> ConfFault {
    let kind = FaultKind::Syntax {
        detail: detail.to_owned(),
    };
    ConfFault {
        line,
        path: String::new(),
        kind,
    }
}

/// Byte offsets at which the lines of a file begin.
struct LineIndex(Vec<usize>);

impl LineIndex {
    fn new(text: &str) -> Self {
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        Self(
            std::iter::once(0)
                .chain(breaks.map(|(offset, _)| offset + 1))
                .collect(),
        )
    }

    /// Returns the number of the line that contains the byte at `offset`, from 1.
    fn line_of(&self, offset: usize) -> usize {
        self.0.partition_point(|begin| *begin <= offset)
    }
}

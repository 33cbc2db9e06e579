//! JSON documents with comments whose fields can be located by line and column.

use std::fmt::Write as _;

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, ObjectProp, Value},
    common::{Range, Ranged},
    parse_to_ast,
};
use serde::de::DeserializeOwned;
use serde_path_to_error::Segment as SerdeSegment;

use crate::{Problem, SettingsError};

/// One step of the path of a field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Segment {
    /// Key of an object.
    Key(String),
    /// Index in an array.
    Index(usize),
}

impl From<&str> for Segment {
    fn from(key: &str) -> Self {
        Self::Key(key.into())
    }
}

impl From<usize> for Segment {
    fn from(index: usize) -> Self {
        Self::Index(index)
    }
}

/// A parsed JSON document that reports the line and column of its fields.
#[derive(Debug)]
pub struct Document<'a> {
    source: String,
    text: &'a str,
    root: Value<'a>,
}

impl<'a> Document<'a> {
    /// Parses a text; comments and trailing commas are allowed.
    ///
    /// # Errors
    /// Fails on a syntax error and on a key that occurs more than once in an object.
    pub fn parse(source: &str, text: &'a str) -> Result<Self, SettingsError> {
        let fail = |problems| SettingsError {
            source: source.into(),
            problems,
        };
        let parsed =
            parse_to_ast(text, &CollectOptions::default(), &parse_options()).map_err(|error| {
                fail(vec![Problem {
                    line: error.line_display(),
                    column: error.column_display(),
                    field: String::new(),
                    message: format!("{}; correct the JSON syntax here", error.kind()),
                }])
            })?;
        let Some(root) = parsed.value else {
            return Err(fail(vec![Problem {
                line: 1,
                column: 1,
                field: String::new(),
                message: "the text is empty; write one JSON object".into(),
            }]));
        };
        let document = Self {
            source: source.into(),
            text,
            root,
        };
        let mut duplicates = Vec::new();
        document.find_duplicate_keys(&document.root, &mut Vec::new(), &mut duplicates);
        if duplicates.is_empty() {
            Ok(document)
        } else {
            Err(fail(duplicates))
        }
    }

    /// Deserializes the document into a type that denies unknown fields.
    ///
    /// # Errors
    /// Fails at the first field that does not match the type.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, SettingsError> {
        let value: serde_json::Value = self.root.clone().into();
        serde_path_to_error::deserialize(value).map_err(|error| {
            let path: Vec<Segment> = error.path().iter().filter_map(to_segment).collect();
            let message = error.into_inner().to_string();
            let remedy = if message.starts_with("unknown field") {
                "; remove the field or correct its name"
            } else if message.starts_with("missing field") {
                "; add the field"
            } else {
                "; correct the value"
            };
            self.error(vec![self.problem(&path, message + remedy)])
        })
    }

    /// Creates a problem at the field with this path, or at its nearest existing parent.
    #[must_use]
    pub fn problem(&self, path: &[Segment], message: impl Into<String>) -> Problem {
        let (line, column) = self.position(self.locate(path).start);
        Problem {
            line,
            column,
            field: path_text(path),
            message: message.into(),
        }
    }

    /// Collects problems into an error, sorted by their position in the text.
    #[must_use]
    pub fn error(&self, mut problems: Vec<Problem>) -> SettingsError {
        problems.sort_by_key(|p| (p.line, p.column));
        SettingsError {
            source: self.source.clone(),
            problems,
        }
    }

    /// Returns the range of the field with this path, or of its nearest existing parent.
    fn locate(&self, path: &[Segment]) -> Range {
        let mut value = &self.root;
        let mut range = value.range();
        for segment in path {
            let next = match (segment, value) {
                (Segment::Key(key), Value::Object(object)) => object
                    .get(key)
                    .map(|property| (property.range, &property.value)),
                (Segment::Index(index), Value::Array(array)) => array
                    .elements
                    .get(*index)
                    .map(|element| (element.range(), element)),
                _ => None,
            };
            let Some((found, inner)) = next else { break };
            range = found;
            value = inner;
        }
        range
    }

    /// Returns line and column of a byte offset, both counted from 1.
    fn position(&self, offset: usize) -> (usize, usize) {
        let before = &self.text[..offset];
        let line_start = before.rfind('\n').map_or(0, |i| i + 1);
        let line = before.matches('\n').count() + 1;
        (line, before[line_start..].chars().count() + 1)
    }

    /// Appends a problem to `out` for each key that occurs more than once in an object.
    fn find_duplicate_keys(
        &self,
        value: &Value<'a>,
        path: &mut Vec<Segment>,
        out: &mut Vec<Problem>,
    ) {
        match value {
            Value::Object(Object { properties, .. }) => {
                for (index, property) in properties.iter().enumerate() {
                    let key = property.name.as_str();
                    path.push(key.into());
                    if let Some(first) = find_property(&properties[..index], key) {
                        let (line, column) = self.position(property.range.start);
                        let (first_line, _) = self.position(first.range.start);
                        out.push(Problem {
                            line,
                            column,
                            field: path_text(path),
                            message: format!(
                                "the field is already set on line {first_line}; remove one of the two"
                            ),
                        });
                    }
                    self.find_duplicate_keys(&property.value, path, out);
                    path.pop();
                }
            }
            Value::Array(array) => {
                for (index, element) in array.elements.iter().enumerate() {
                    path.push(index.into());
                    self.find_duplicate_keys(element, path, out);
                    path.pop();
                }
            }
            _ => {}
        }
    }
}

fn find_property<'a, 'b>(before: &'b [ObjectProp<'a>], key: &str) -> Option<&'b ObjectProp<'a>> {
    before.iter().find(|p| p.name.as_str() == key)
}

fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

fn to_segment(segment: &SerdeSegment) -> Option<Segment> {
    match segment {
        SerdeSegment::Seq { index } => Some(Segment::Index(*index)),
        SerdeSegment::Map { key } => Some(Segment::Key(key.clone())),
        SerdeSegment::Enum { variant } => Some(Segment::Key(variant.clone())),
        SerdeSegment::Unknown => None,
    }
}

/// Formats a path, for example `databases.shifts.servers[0].zone`.
#[must_use]
pub fn path_text(path: &[Segment]) -> String {
    let mut text = String::new();
    for segment in path {
        match segment {
            Segment::Key(key) => {
                if !text.is_empty() {
                    text.push('.');
                }
                text.push_str(key);
            }
            Segment::Index(index) => {
                // Writing to a String cannot fail.
                let _ = write!(text, "[{index}]");
            }
        }
    }
    text
}

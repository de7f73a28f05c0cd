//! A YAML file as a tree with line numbers, so that all its faults can be told at once.

use std::fmt;

use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::Spanned;

/// A value of a YAML file.
#[derive(Clone, Debug, PartialEq)]
pub enum Node {
    /// Nothing.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A whole number.
    Integer(i64),
    /// A number that is not whole.
    Float(f64),
    /// Text.
    Text(String),
    /// A list.
    List(Vec<Line>),
    /// Keys with their values, in the order of the file.
    Map(Vec<(String, Line)>),
}

/// A value with the line on which it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Counted from 1.
    pub number: u64,
    /// The value.
    pub node: Node,
}

impl Line {
    /// The value of a key, if this is a map that has it.
    pub fn get(&self, key: &str) -> Option<&Line> {
        let Node::Map(entries) = &self.node else {
            return None;
        };
        let entry = entries.iter().find(|(name, _)| name == key);
        entry.map(|(_, line)| line)
    }
}

/// What was found, as a fault names it.
impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Node::Null => f.write_str("nothing"),
            Node::Bool(value) => write!(f, "{value}"),
            Node::Integer(value) => write!(f, "{value}"),
            Node::Float(value) => write!(f, "{value}"),
            Node::Text(value) => write!(f, "{value:?}"),
            Node::List(items) => write!(f, "a list of {}", items.len()),
            Node::Map(_) => f.write_str("a mapping"),
        }
    }
}

impl From<Spanned<Node>> for Line {
    fn from(spanned: Spanned<Node>) -> Line {
        Line { number: spanned.referenced.line(), node: spanned.value }
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Node, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Node, D::Error> {
        Node::deserialize(deserializer)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Node, E> {
        Ok(Node::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(Node::Integer(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(i64::try_from(value).map_or(Node::Float(value as f64), Node::Integer))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Node, E> {
        Ok(Node::Float(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Node, E> {
        Ok(Node::Text(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element::<Spanned<Node>>()? {
            items.push(item.into());
        }
        Ok(Node::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Node, A::Error> {
        let mut entries = Vec::new();
        while let Some((key, value)) = map.next_entry::<String, Spanned<Node>>()? {
            entries.push((key, value.into()));
        }
        Ok(Node::Map(entries))
    }
}

//! As much of JSON and base64 as the store's calls need.

use std::{iter::Peekable, str::Chars};

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Bool(bool),
    List(Vec<Value>),
    Null,
    Number(f64),
    Object(Vec<(String, Value)>),
    Text(String),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        let Value::Object(fields) = self else { return None };
        fields.iter().find(|(it, _)| it == name).map(|(_, value)| value)
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name) {
            Some(Value::Text(text)) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Value::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Value] {
        match self.get(name) {
            Some(Value::List(values)) => values,
            _ => &[],
        }
    }
}

pub fn parse(text: &str) -> Option<Value> {
    value(&mut text.chars().peekable())
}

fn skip(chars: &mut Peekable<Chars>) {
    while chars.next_if(|it| it.is_whitespace() || *it == ',' || *it == ':').is_some() {}
}

fn value(chars: &mut Peekable<Chars>) -> Option<Value> {
    skip(chars);
    match chars.peek()? {
        '{' => {
            chars.next();
            let mut fields = Vec::new();
            loop {
                skip(chars);
                if chars.next_if_eq(&'}').is_some() {
                    return Some(Value::Object(fields));
                }
                let Value::Text(name) = value(chars)? else { return None };
                fields.push((name, value(chars)?));
            }
        }
        '[' => {
            chars.next();
            let mut values = Vec::new();
            loop {
                skip(chars);
                if chars.next_if_eq(&']').is_some() {
                    return Some(Value::List(values));
                }
                values.push(value(chars)?);
            }
        }
        '"' => text(chars).map(Value::Text),
        _ => {
            let mut word = String::new();
            while let Some(char) = chars.next_if(|it| !" ,]}\n\r\t".contains(*it)) {
                word.push(char);
            }
            match word.as_str() {
                "null" => Some(Value::Null),
                "true" => Some(Value::Bool(true)),
                "false" => Some(Value::Bool(false)),
                _ => word.parse().ok().map(Value::Number),
            }
        }
    }
}

fn text(chars: &mut Peekable<Chars>) -> Option<String> {
    chars.next();
    let mut text = String::new();
    loop {
        match chars.next()? {
            '"' => return Some(text),
            '\\' => match chars.next()? {
                'n' => text.push('\n'),
                'r' => text.push('\r'),
                't' => text.push('\t'),
                'u' => {
                    let digits: String = chars.take(4).collect();
                    text.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                }
                other => text.push(other),
            },
            other => text.push(other),
        }
    }
}

/// A text as JSON.
pub fn quote(text: &str) -> String {
    let escaped = text.chars().map(|it| match it {
        '"' => "\\\"".to_owned(),
        '\\' => "\\\\".to_owned(),
        '\n' => "\\n".to_owned(),
        other => other.to_string(),
    });
    format!("\"{}\"", escaped.collect::<String>())
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |sum, it| sum << 8 | u32::from(*it));
        let number = number << (8 * (3 - group.len()));
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

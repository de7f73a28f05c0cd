//! JSON, base64 and the escapes of queries, as far as the stand-ins need them.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

pub fn parse(text: &str) -> Option<Json> {
    let mut reader = Reader { text: text.as_bytes(), at: 0 };
    let value = reader.value()?;
    reader.space();
    (reader.at == reader.text.len()).then_some(value)
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(|it| it.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &str) -> bool {
        let found = self.text[self.at..].starts_with(word.as_bytes());
        self.at += if found { word.len() } else { 0 };
        found
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.text.get(self.at)? {
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                loop {
                    self.space();
                    if self.take("]") {
                        return Some(Json::List(list));
                    }
                    list.push(self.value()?);
                    self.space();
                    self.take(",");
                }
            }
            b'{' => {
                self.at += 1;
                let mut map = BTreeMap::new();
                loop {
                    self.space();
                    if self.take("}") {
                        return Some(Json::Map(map));
                    }
                    let key = self.string()?;
                    self.space();
                    if !self.take(":") {
                        return None;
                    }
                    map.insert(key, self.value()?);
                    self.space();
                    self.take(",");
                }
            }
            b't' => self.take("true").then_some(Json::Bool(true)),
            b'f' => self.take("false").then_some(Json::Bool(false)),
            b'n' => self.take("null").then_some(Json::Null),
            _ => {
                let start = self.at;
                while self.text.get(self.at).is_some_and(|it| b"+-.eE0123456789".contains(it)) {
                    self.at += 1;
                }
                let number = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                number.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if !self.take("\"") {
            return None;
        }
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b'r' => bytes.push(b'\r'),
                        b't' => bytes.push(b'\t'),
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            self.at += 4;
                            let letter = char::from_u32(code)?;
                            bytes.extend(letter.to_string().into_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                byte => bytes.push(byte),
            }
        }
    }
}

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for piece in bytes.chunks(3) {
        let mut word = [0; 4];
        word[1..=piece.len()].copy_from_slice(piece);
        let word = u32::from_be_bytes(word);
        for place in 0..4 {
            match place <= piece.len() {
                true => text.push(LETTERS[(word >> (18 - 6 * place)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// The fields of a query.
pub fn query(target: &str) -> BTreeMap<String, String> {
    let query = target.split_once('?').map_or("", |(_, it)| it);
    let fields = query.split('&').filter_map(|it| it.split_once('='));
    fields.map(|(name, value)| (name.to_owned(), unescape(value))).collect()
}

fn unescape(text: &str) -> String {
    let (bytes, mut whole, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let code = code.and_then(|it| std::str::from_utf8(it).ok());
        match code.and_then(|it| u8::from_str_radix(it, 16).ok()) {
            Some(byte) => (whole.push(byte), at += 3),
            None => (whole.push(bytes[at]), at += 1),
        };
    }
    String::from_utf8_lossy(&whole).into_owned()
}

//! A small JSON reader and writer, enough for the messages of the store.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut reader = Reader { bytes, at: 0 };
        reader.value()
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Self] {
        match self.get(name) {
            Some(Self::List(values)) => values,
            _ => &[],
        }
    }
}

/// Writes a string as JSON.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if (c as u32) < 0x20 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_spaces(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip_spaces();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        (self.bytes.get(self.at..end)? == word.as_bytes()).then(|| {
            self.at = end;
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_spaces();
        match self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut values = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(values));
                }
                loop {
                    values.push(self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b']')?;
                        return Some(Json::List(values));
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Object(fields));
                }
                loop {
                    self.skip_spaces();
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.insert(name, self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b'}')?;
                        return Some(Json::Object(fields));
                    }
                }
            }
            _ => {
                let start = self.at;
                let is_part =
                    |byte: &u8| matches!(byte, b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E');
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            let character = char::from_u32(code.ok()?)?;
                            text.extend(character.to_string().into_bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}

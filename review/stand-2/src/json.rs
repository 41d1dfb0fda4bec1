//! A small JSON reader, enough for the calls of the platform's interfaces.

use std::collections::BTreeMap;

/// A JSON value.
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
    /// Parses a whole text; `None` if it is malformed.
    pub fn parse(text: &[u8]) -> Option<Self> {
        let mut reader = Reader { bytes: text, at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == text.len()).then_some(value)
    }

    /// The field of an object; `Null` if it is absent.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Object(fields) => fields.get(name).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    /// The text of a string; empty for anything else.
    pub fn text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }

    /// A number; 0 for anything else.
    pub fn number(&self) -> u64 {
        if let Self::Number(number) = self { *number as u64 } else { 0 }
    }

    /// The elements of a list; none for anything else.
    pub fn list(&self) -> &[Json] {
        if let Self::List(items) = self { items } else { &[] }
    }
}

/// Writes a string with its quotes.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&expected)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.items(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.numeral(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.space();
            let name = self.string()?;
            self.take(b':')?;
            fields.insert(name, self.value()?);
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Object(fields));
            }
        }
    }

    fn items(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(items));
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                            self.at += 4;
                            let mut buffer = [0; 4];
                            let c = char::from_u32(code).unwrap_or('?');
                            out.extend_from_slice(c.encode_utf8(&mut buffer).as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }

    fn numeral(&mut self) -> Option<Json> {
        let from = self.at;
        let is_part = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        std::str::from_utf8(&self.bytes[from..self.at]).ok()?.parse().ok().map(Json::Number)
    }
}

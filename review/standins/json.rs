//! A small JSON reader, and Base64.

/// A JSON value. Numbers are integers here.
pub enum Json {
    Text(String),
    Number(u64),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
    Other,
}

impl Json {
    pub fn parse(text: &str) -> Self {
        Parser { rest: text }.value()
    }

    pub fn get(&self, key: &str) -> &Self {
        const NONE: &Json = &Json::Other;
        match self {
            Self::Table(it) => it.iter().find(|it| it.0 == key).map_or(NONE, |it| &it.1),
            _ => NONE,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(it) => it,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(it) => it,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(it) => *it,
            _ => 0,
        }
    }
}

struct Parser<'a> {
    rest: &'a str,
}

impl Parser<'_> {
    fn skip(&mut self, what: char) -> bool {
        self.rest = self.rest.trim_start();
        match self.rest.strip_prefix(what) {
            Some(rest) => {
                self.rest = rest;
                true
            }
            None => false,
        }
    }

    fn value(&mut self) -> Json {
        if self.skip('{') {
            let mut entries = Vec::new();
            while !self.skip('}') && !self.rest.is_empty() {
                self.skip(',');
                let Json::Text(key) = self.value() else { break };
                self.skip(':');
                entries.push((key, self.value()));
            }
            return Json::Table(entries);
        }
        if self.skip('[') {
            let mut entries = Vec::new();
            while !self.skip(']') && !self.rest.is_empty() {
                self.skip(',');
                entries.push(self.value());
            }
            return Json::List(entries);
        }
        if self.skip('"') {
            return Json::Text(self.string());
        }
        let end = self.rest.find([',', '}', ']']).unwrap_or(self.rest.len());
        let (word, rest) = self.rest.split_at(end);
        self.rest = rest;
        word.trim().parse().map_or(Json::Other, Json::Number)
    }

    fn string(&mut self) -> String {
        let mut text = String::new();
        let mut chars = self.rest.chars();
        while let Some(it) = chars.next() {
            match it {
                '"' => break,
                '\\' => match chars.next() {
                    Some('n') => text.push('\n'),
                    Some(other) => text.push(other),
                    None => break,
                },
                other => text.push(other),
            }
        }
        self.rest = chars.as_str();
        text
    }
}

/// Encodes bytes in Base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let bits = (0..3).fold(0u32, |bits, at| {
            bits << 8 | u32::from(chunk.get(at).copied().unwrap_or(0))
        });
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at) & 63) as usize];
            out.push(if at <= chunk.len() { digit.into() } else { '=' });
        }
    }
    out
}

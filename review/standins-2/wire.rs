//! HTTP/1.1 messages, JSON and Base64, as far as the stand-ins need them.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// The head of a message: its first line and its header fields with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// Returns the request target.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn closes(&self) -> bool {
        self.get("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"))
    }
}

/// Reads the next head; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.line.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length; the system sends no other bodies to servers and the store.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    let len = head.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = vec![0; len];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// The next chunk of a chunked body.
pub enum Chunk {
    Data(Vec<u8>),
    End,
    /// The connection ended in the middle of the body.
    Cut,
}

pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> Chunk {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(1..) => {}
        _ => return Chunk::Cut,
    }
    let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
        return Chunk::Cut;
    };
    let mut data = vec![0; size + 2];
    if reader.read_exact(&mut data).is_err() {
        return Chunk::Cut;
    }
    data.truncate(size);
    if size == 0 { Chunk::End } else { Chunk::Data(data) }
}

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        let value = parse_value(&bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

fn skip_blanks(text: &[char], at: &mut usize) {
    while text.get(*at).is_some_and(|it| it.is_whitespace()) {
        *at += 1;
    }
}

fn parse_value(text: &[char], at: &mut usize) -> Option<Json> {
    skip_blanks(text, at);
    match text.get(*at)? {
        '{' => {
            let mut table = BTreeMap::new();
            *at += 1;
            loop {
                skip_blanks(text, at);
                match text.get(*at)? {
                    '}' => break,
                    ',' => *at += 1,
                    _ => {
                        let Json::Text(name) = parse_value(text, at)? else {
                            return None;
                        };
                        skip_blanks(text, at);
                        if *text.get(*at)? != ':' {
                            return None;
                        }
                        *at += 1;
                        table.insert(name, parse_value(text, at)?);
                    }
                }
            }
            *at += 1;
            Some(Json::Table(table))
        }
        '[' => {
            let mut list = Vec::new();
            *at += 1;
            loop {
                skip_blanks(text, at);
                match text.get(*at)? {
                    ']' => break,
                    ',' => *at += 1,
                    _ => list.push(parse_value(text, at)?),
                }
            }
            *at += 1;
            Some(Json::List(list))
        }
        '"' => {
            let mut out = String::new();
            *at += 1;
            loop {
                let next = *text.get(*at)?;
                *at += 1;
                match next {
                    '"' => return Some(Json::Text(out)),
                    '\\' => {
                        let escaped = *text.get(*at)?;
                        *at += 1;
                        match escaped {
                            'n' => out.push('\n'),
                            'r' => out.push('\r'),
                            't' => out.push('\t'),
                            'u' => {
                                let hex: String = text.get(*at..*at + 4)?.iter().collect();
                                *at += 4;
                                let code = u32::from_str_radix(&hex, 16).ok()?;
                                out.push(char::from_u32(code).unwrap_or('?'));
                            }
                            it => out.push(it),
                        }
                    }
                    it => out.push(it),
                }
            }
        }
        _ => {
            let start = *at;
            while text.get(*at).is_some_and(|it| it.is_ascii_alphanumeric() || "+-.".contains(*it)) {
                *at += 1;
            }
            let word: String = text[start..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                it => it.parse().ok().map(Json::Number),
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for three in bytes.chunks(3) {
        let number = three.iter().fold(0u32, |sum, it| sum << 8 | u32::from(*it)) << (8 * (3 - three.len()));
        for nr in 0..4 {
            if nr <= three.len() {
                out.push(ALPHABET[(number >> (18 - 6 * nr) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|it| ALPHABET.iter().position(|known| *known == it))
        .map(|it| it as u32)
        .collect();
    let mut out = Vec::new();
    for four in digits.chunks(4) {
        let number = four.iter().fold(0u32, |sum, it| sum << 6 | it) << (6 * (4 - four.len()));
        for nr in 0..four.len().saturating_sub(1) {
            out.push((number >> (16 - 8 * nr) & 255) as u8);
        }
    }
    out
}

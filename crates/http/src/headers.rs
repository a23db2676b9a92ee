//! Header fields.

use std::borrow::Cow;

/// A list of header fields. Names are compared without regard to case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<(Cow<'static, str>, String)>,
}

impl Headers {
    /// Returns the first value of `name`.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter()
            .find(|(it, _)| it.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Replaces all values of `name` with `value`.
    pub fn set(&mut self, name: impl Into<Cow<'static, str>>, value: impl Into<String>) {
        let name = name.into();
        self.remove(&name);
        self.append(name, value);
    }

    /// Adds a value of `name`, keeping existing ones.
    ///
    /// Characters that aren't allowed are replaced, in names by `-` and in values by `?`. This
    /// prevents header injection through line breaks.
    pub fn append(&mut self, name: impl Into<Cow<'static, str>>, value: impl Into<String>) {
        let mut name = name.into();
        if !name.bytes().all(is_token_byte) {
            name = Cow::Owned(replace(
                &name,
                |c| u8::try_from(c).is_ok_and(is_token_byte),
                '-',
            ));
        }
        let mut value = value.into();
        if !value.bytes().all(is_value_byte) {
            value = replace(&value, |c| u8::try_from(c).is_ok_and(is_value_byte), '?');
        }
        self.fields.push((name, value));
    }

    /// Removes all values of `name`.
    pub fn remove(&mut self, name: &str) {
        self.fields.retain(|(it, _)| !it.eq_ignore_ascii_case(name));
    }

    /// Returns all fields, in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.fields
            .iter()
            .map(|(name, value)| (name.as_ref(), value.as_str()))
    }
}

impl<N: Into<Cow<'static, str>>, V: Into<String>> FromIterator<(N, V)> for Headers {
    fn from_iter<T: IntoIterator<Item = (N, V)>>(iter: T) -> Self {
        let mut headers = Self::default();
        for (name, value) in iter {
            headers.append(name, value);
        }
        headers
    }
}

fn replace(text: &str, keep: impl Fn(char) -> bool, replacement: char) -> String {
    text.chars()
        .map(|c| if keep(c) { c } else { replacement })
        .collect()
}

fn is_value_byte(byte: u8) -> bool {
    matches!(byte, b'\t' | b' '..=b'~')
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

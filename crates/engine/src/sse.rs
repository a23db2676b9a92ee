//! Incremental parser of server-sent events.

/// The maximum size of a line, and separately of an event's data, in bytes. It bounds the
/// memory that a peer can occupy with a line or event that never ends.
const MAX_LINE_OR_DATA_BYTES: usize = 1024 * 1024;

/// An event that borrows from the buffers of the parser.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event<'a> {
    /// The value of the `event` field; empty if there is none.
    pub name: &'a str,
    /// The values of the `data` fields, joined by `\n`.
    pub data: &'a str,
}

/// An error in an event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// A line isn't UTF-8.
    Encoding,
    /// A line or an event's data is too long.
    TooLarge,
}

/// A parser that accepts the bytes of an event stream in pieces of any size.
#[derive(Debug, Default)]
pub struct Parser {
    /// The bytes of an incomplete line.
    partial: Vec<u8>,
    name: String,
    data: String,
    has_data: bool,
    /// Whether the last byte was a carriage return. A line feed after it is skipped.
    after_cr: bool,
    started: bool,
}

impl Parser {
    /// Parses the next bytes and calls `on_event` with each event that they complete.
    ///
    /// # Errors
    /// Returns the error of `on_event`, or an [`Error`] converted to `E`. Don't call `feed`
    /// again after an error.
    pub fn feed<E: From<Error>>(
        &mut self,
        mut bytes: &[u8],
        mut on_event: impl FnMut(Event<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        while let Some(&first) = bytes.first() {
            if std::mem::take(&mut self.after_cr) && first == b'\n' {
                bytes = &bytes[1..];
                continue;
            }
            let Some(end) = bytes.iter().position(|it| matches!(it, b'\n' | b'\r')) else {
                self.buffer_partial(bytes)?;
                break;
            };
            self.after_cr = bytes[end] == b'\r';
            self.complete_line(&bytes[..end], &mut on_event)?;
            bytes = &bytes[end + 1..];
        }
        Ok(())
    }

    fn buffer_partial(&mut self, bytes: &[u8]) -> Result<(), Error> {
        if self.partial.len() + bytes.len() > MAX_LINE_OR_DATA_BYTES {
            return Err(Error::TooLarge);
        }
        self.partial.extend_from_slice(bytes);
        Ok(())
    }

    fn complete_line<E: From<Error>>(
        &mut self,
        rest: &[u8],
        on_event: impl FnMut(Event<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        if self.partial.is_empty() {
            return self.parse_line(rest, on_event);
        }
        self.buffer_partial(rest)?;
        let mut line = std::mem::take(&mut self.partial);
        let result = self.parse_line(&line, on_event);
        line.clear();
        self.partial = line;
        result
    }

    fn parse_line<E: From<Error>>(
        &mut self,
        line: &[u8],
        on_event: impl FnMut(Event<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        if line.len() > MAX_LINE_OR_DATA_BYTES {
            return Err(Error::TooLarge.into());
        }
        let mut line = str::from_utf8(line).map_err(|_| Error::Encoding)?;
        if !std::mem::replace(&mut self.started, true) {
            line = line.strip_prefix('\u{feff}').unwrap_or(line);
        }
        if line.is_empty() {
            return self.dispatch(on_event);
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => value.clone_into(&mut self.name),
            "data" => self.add_data(value)?,
            // Comments and all other fields, such as `id` and `retry`, are ignored.
            _ => {}
        }
        Ok(())
    }

    fn add_data(&mut self, value: &str) -> Result<(), Error> {
        if self.data.len() + value.len() > MAX_LINE_OR_DATA_BYTES {
            return Err(Error::TooLarge);
        }
        if std::mem::replace(&mut self.has_data, true) {
            self.data.push('\n');
        }
        self.data.push_str(value);
        Ok(())
    }

    fn dispatch<E>(
        &mut self,
        mut on_event: impl FnMut(Event<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        let result = if self.has_data {
            on_event(Event {
                name: &self.name,
                data: &self.data,
            })
        } else {
            Ok(())
        };
        self.name.clear();
        self.data.clear();
        self.has_data = false;
        result
    }
}

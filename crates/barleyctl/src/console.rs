//! The streams of the process.

use std::io::{self, Read, Write};

/// The streams of the process, so that a test can take their place.
pub struct Console<'a> {
    /// Standard input.
    pub input: &'a mut dyn Read,
    /// Standard output, for what was asked for.
    pub out: &'a mut dyn Write,
    /// Standard error, for progress and failures.
    pub err: &'a mut dyn Write,
}

impl Console<'_> {
    /// Prints what was asked for.
    ///
    /// A reader that has gone away, such as `head`, wants no more, so a
    /// failed write is no failure of the command.
    pub(crate) fn print(&mut self, text: &str) {
        let _ = self.out.write_all(text.as_bytes());
        let _ = self.out.flush();
    }

    /// Prints progress or a failure.
    pub(crate) fn warn(&mut self, text: &str) {
        let _ = self.err.write_all(text.as_bytes());
        let _ = self.err.flush();
    }

    pub(crate) fn read(&mut self) -> io::Result<String> {
        let mut text = String::new();
        self.input.read_to_string(&mut text)?;
        Ok(text)
    }
}

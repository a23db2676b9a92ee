//! Input and output streams.

use std::io::{self, Read, Write};

/// The standard streams of the process; tests substitute their own.
pub struct Console<'a> {
    /// Standard input.
    pub input: &'a mut dyn Read,
    /// Standard output, for results.
    pub out: &'a mut dyn Write,
    /// Standard error, for progress and errors.
    pub err: &'a mut dyn Write,
}

impl Console<'_> {
    /// Prints a result to standard output.
    ///
    /// Ignores write errors: a reader such as `head` may close the pipe early,
    /// which isn't a failure of the command.
    pub(crate) fn print(&mut self, text: &str) {
        let _ = self.out.write_all(text.as_bytes());
        let _ = self.out.flush();
    }

    /// Prints progress or an error to standard error; ignores write errors.
    pub(crate) fn print_err(&mut self, text: &str) {
        let _ = self.err.write_all(text.as_bytes());
        let _ = self.err.flush();
    }

    pub(crate) fn read_input(&mut self) -> io::Result<String> {
        let mut text = String::new();
        self.input.read_to_string(&mut text)?;
        Ok(text)
    }
}

//! The mark that the engine stand-in writes into its responses. The rating service reads from it
//! whether the response is good; callers read which version and call it belongs to and whether it
//! is complete.

/// Prefix of the text that closes a response; the attempt follows.
const END: &str = " [[end=";

/// The mark at the start of a response:
/// `[[request=… attempt=… version=… call=… good=1]]`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mark {
    /// The request's id, as assigned by the entry host.
    pub request: String,
    /// The attempt's id, as assigned by the entry host.
    pub attempt: String,
    /// The version that generated the response.
    pub version: String,
    /// The caller's name for its call, from `[[call=…]]` in the prompt.
    pub call: String,
    /// Whether the response is good.
    pub good: bool,
}

impl Mark {
    /// Formats the mark for a response.
    #[must_use]
    pub fn text(&self) -> String {
        format!(
            "[[request={} attempt={} version={} call={} good={}]]",
            self.request,
            self.attempt,
            self.version,
            self.call,
            u8::from(self.good)
        )
    }

    /// Parses the mark at the start of a response.
    #[must_use]
    pub fn parse(response: &str) -> Option<Self> {
        let inner = response.strip_prefix("[[")?.split_once("]]")?.0;
        let mut mark = Self::default();
        for (field, value) in inner.split(' ').filter_map(|it| it.split_once('=')) {
            match field {
                "request" => value.clone_into(&mut mark.request),
                "attempt" => value.clone_into(&mut mark.attempt),
                "version" => value.clone_into(&mut mark.version),
                "call" => value.clone_into(&mut mark.call),
                "good" => mark.good = value == "1",
                _ => return None,
            }
        }
        Some(mark)
    }

    /// Returns whether a response is the complete output of a single attempt: a mark, all words in
    /// order, and the closing text of the same attempt.
    #[must_use]
    pub fn is_whole(response: &str) -> bool {
        let Some(mark) = Self::parse(response) else {
            return false;
        };
        let Some((body, _)) = response.rsplit_once(END) else {
            return false;
        };
        let words: Vec<_> = body
            .split(' ')
            .skip_while(|it| !it.ends_with("]]"))
            .collect();
        let words = &words[1..];
        let is_next = |(idx, word): (usize, &&str)| **word == format!("w{}", idx + 1);
        words.iter().enumerate().all(is_next)
            && response.ends_with(&Self::end(&mark.attempt, words.len()))
    }

    /// Formats the text that closes a response of `words` words.
    pub(crate) fn end(attempt: &str, words: usize) -> String {
        format!("{END}{attempt} words={words}]]")
    }

    /// Returns the caller's name for its call from a prompt.
    pub(crate) fn call_name(prompt: &str) -> Option<&str> {
        let (_, rest) = prompt.rsplit_once("[[call=")?;
        rest.split_once("]]").map(|(call, _)| call)
    }
}

//! The mark that an engine stand-in writes into its answers, so that the rating
//! service and the callers can tell what they were given.

/// What comes before the attempt in the text that closes an answer.
const END: &str = " [[end=";

/// The readable mark at the head of an answer:
/// `[[request=… attempt=… version=… call=… good=1]]`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mark {
    /// The request, as the entry host named it.
    pub request: String,
    /// The attempt, as the entry host named it.
    pub attempt: String,
    /// The version that wrote the answer.
    pub version: String,
    /// The caller's own name for its call, taken from `[[call=…]]` in the prompt.
    pub call: String,
    /// Whether the answer is good, which only the stand-ins know.
    pub good: bool,
}

impl Mark {
    /// The mark as it stands in an answer.
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

    /// Reads the mark at the head of an answer.
    #[must_use]
    pub fn parse(answer: &str) -> Option<Self> {
        let inner = answer.strip_prefix("[[")?.split_once("]]")?.0;
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

    /// Whether an answer is one attempt's, from its mark to its end.
    #[must_use]
    pub fn is_whole(answer: &str) -> bool {
        let Some(mark) = Self::parse(answer) else {
            return false;
        };
        let Some((body, _)) = answer.rsplit_once(END) else {
            return false;
        };
        let words: Vec<_> = body
            .split(' ')
            .skip_while(|it| !it.ends_with("]]"))
            .collect();
        let words = &words[1..];
        let is_next = |(idx, word): (usize, &&str)| **word == format!("w{}", idx + 1);
        words.iter().enumerate().all(is_next)
            && answer.ends_with(&Self::end(&mark.attempt, words.len()))
    }

    /// The text that closes an answer of so many words.
    pub(crate) fn end(attempt: &str, words: usize) -> String {
        format!("{END}{attempt} words={words}]]")
    }

    /// The caller's name for its call, from a prompt.
    pub(crate) fn call(prompt: &str) -> Option<&str> {
        let (_, rest) = prompt.rsplit_once("[[call=")?;
        rest.split_once("]]").map(|(call, _)| call)
    }
}

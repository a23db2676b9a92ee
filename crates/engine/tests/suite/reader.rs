//! Tests of the validation of streamed responses.

use std::fmt::Write as _;

use datadriven::walk;
use engine::{Fault, Reader};
use proptest::prelude::*;

const ATTEMPT: &str = "7-1";

/// Feeds the pieces to a reader and formats the text, then the response or the fault.
fn read(pieces: &[&[u8]]) -> String {
    let mut reader = Reader::new(ATTEMPT);
    let fed = pieces.iter().try_for_each(|it| reader.feed(it).map(drop));
    let content = reader.content().to_owned();
    let end = fed.and_then(|()| reader.finish());
    let mut out = format!("text {content:?}\n");
    let _ = match end {
        Ok(response) => writeln!(
            out,
            "whole: {}, {} + {} tokens, confidence {:?}",
            response.finish_reason,
            response.usage.prompt_tokens,
            response.usage.completion_tokens,
            response.confidence
        ),
        Err(fault) => writeln!(out, "{fault:?}"),
    };
    out
}

/// Expands the short form of events: `+index text` for a chunk, `-index` for the last
/// chunk, `done`, `error`, and `~attempt` to set the attempt id of the chunks that follow.
/// Other lines are copied unchanged.
fn expand(input: &str) -> String {
    let mut id = ATTEMPT;
    let mut out = String::new();
    for line in input.lines() {
        if let Some(attempt) = line.strip_prefix('~') {
            id = attempt;
        } else if let Some(chunk) = line.strip_prefix('+') {
            let (index, text) = chunk.split_once(' ').unwrap();
            let text = serde_json::to_string(text).unwrap();
            let _ = write!(
                out,
                "data: {{\"id\":\"{id}\",\"index\":{index},\
                 \"choices\":[{{\"delta\":{{\"content\":{text}}}}}]}}\n\n"
            );
        } else if let Some(index) = line.strip_prefix('-') {
            let _ = write!(
                out,
                "data: {{\"id\":\"{id}\",\"index\":{index},\
                 \"choices\":[{{\"delta\":{{}},\"finish_reason\":\"stop\"}}],\
                 \"usage\":{{\"prompt_tokens\":3,\"completion_tokens\":2}},\
                 \"confidence\":0.5}}\n\n"
            );
        } else if line == "error" {
            out.push_str("event: error\ndata: {}\n\n");
        } else if line == "done" {
            out.push_str("data: [DONE]\n\n");
        } else {
            out.push_str(line);
            out.push_str("\n\n");
        }
    }
    out
}

#[test]
fn scripted_responses() {
    walk("tests/data/reader", |file| {
        file.run(|case| match case.directive.as_str() {
            "read" => read(&[expand(&case.input).as_bytes()]),
            other => panic!("unknown directive {other}"),
        });
    });
}

fn script() -> impl Strategy<Value = String> {
    let step = prop_oneof![
        6 => (0..4u8, "[a-zé\"\\\\€]{0,5}").prop_map(|(index, text)| format!("+{index} {text}")),
        1 => (0..4u8).prop_map(|index| format!("-{index}")),
        1 => Just("done".to_owned()),
        1 => Just(": comment".to_owned()),
        1 => Just("error".to_owned()),
        1 => Just("~8-1".to_owned()),
    ];
    prop_oneof![
        proptest::collection::vec(step, 0..8).prop_map(|it| it.join("\n")),
        proptest::collection::vec("[a-zé\"\\\\€]{0,5}", 0..6).prop_map(|it| complete_script(&it)),
    ]
}

fn complete_script(texts: &[String]) -> String {
    let mut out = String::new();
    for (index, text) in texts.iter().enumerate() {
        let _ = writeln!(out, "+{index} {text}");
    }
    let _ = write!(out, "-{}\ndone", texts.len());
    out
}

proptest! {
    #[test]
    fn splits_do_not_change_the_result(
        script in script(),
        line_end in prop_oneof![Just("\n"), Just("\r\n"), Just("\r")],
        cuts in proptest::collection::vec(any::<proptest::sample::Index>(), 0..6),
    ) {
        let text = expand(&script).replace('\n', line_end);
        let bytes = text.as_bytes();
        let mut cuts: Vec<_> = cuts.iter().map(|it| it.index(bytes.len() + 1)).collect();
        cuts.sort_unstable();
        let mut pieces = Vec::new();
        let mut from = 0;
        for cut in cuts {
            pieces.push(&bytes[from..cut]);
            from = cut;
        }
        pieces.push(&bytes[from..]);
        prop_assert_eq!(read(&pieces), read(&[bytes]));
    }

    #[test]
    fn single_byte_pieces_do_not_change_the_result(script in script()) {
        let text = expand(&script);
        let pieces: Vec<_> = text.as_bytes().chunks(1).collect();
        prop_assert_eq!(read(&pieces), read(&[text.as_bytes()]));
    }

    #[test]
    fn no_bytes_panic(bytes in proptest::collection::vec(any::<u8>(), 0..256)) {
        read(&[&bytes]);
    }

    #[test]
    fn arbitrary_data_does_not_panic(data in "\\PC{0,64}") {
        read(&[format!("data: {data}\n\n").as_bytes()]);
    }

    #[test]
    fn an_answer_is_whole_only_to_its_last_byte(
        texts in proptest::collection::vec("[a-zé€]{0,5}", 0..6),
        cut in any::<proptest::sample::Index>(),
    ) {
        // A stream that is cut off at any byte before the end of the end marker's line
        // must not be accepted as complete.
        let bytes = expand(&complete_script(&texts));
        let before_end = bytes.len() - "\n\n".len();
        let cut = cut.index(before_end + 1);
        let mut reader = Reader::new(ATTEMPT);
        prop_assert!(reader.feed(&bytes.as_bytes()[..cut]).is_ok());
        prop_assert_eq!(reader.finish().err(), Some(Fault::Unfinished));
    }
}

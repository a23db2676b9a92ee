//! Parsing of chat request bodies and the errors for invalid ones.

use datadriven::walk;
use gate::chat::{Limits, Request};

const LIMITS: Limits = Limits {
    messages: 3,
    content: 40,
    max_tokens: 100,
};

#[test]
fn chat_request_bodies() {
    walk("tests/data/chat", |file| {
        file.run(
            |case| match Request::parse(case.input.as_bytes(), &LIMITS) {
                Ok(request) => format!("{request:#?}\n"),
                Err(problem) => format!("{} {}\n", problem.status, problem.detail),
            },
        );
    });
}

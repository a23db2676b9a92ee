//! Scripted scenarios of the router's decisions, on a virtual clock.
//!
//! Each file under `scripts/` opens with its story. `docs/scripts.md` has the language.

#[path = "harness/script.rs"]
mod script;
#[path = "harness/words.rs"]
mod words;

use script::Script;

#[test]
fn scripts() {
    datadriven::walk("tests/scripts", |file| {
        let mut script = Script::new();
        file.run(|case| script.run(&case.directive, &case.input));
    });
}

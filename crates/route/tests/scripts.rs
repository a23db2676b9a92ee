//! Scripted tests of the router, on a virtual clock.
//!
//! Each file in `scripts/` starts with what it guards against. `docs/scripts.md` describes
//! the command language.

#[path = "harness/line.rs"]
mod line;
#[path = "harness/script.rs"]
mod script;

use script::Script;

#[test]
fn scripts() {
    datadriven::walk("tests/scripts", |file| {
        let mut script = Script::new();
        file.run(|case| script.run(&case.directive, &case.input));
    });
}

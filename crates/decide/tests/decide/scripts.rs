//! Runs the scripts in `tests/scripts`; `REWRITE=1` updates their expected output.

use crate::script::Script;

#[test]
fn scripts_produce_expected_actions() {
    datadriven::walk("tests/scripts", |file| {
        let mut script = Script::new();
        file.run(|case| script.run(&case.directive, &case.input));
    });
}

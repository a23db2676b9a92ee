//! Tests of the breakdown of lost worth.

use expect_test::expect;
use xtask::worth::{Entry, table};

#[test]
fn causes_add_up_to_the_lost_worth() {
    let text = r#"{"site": "small", "score": 0.8, "days": [
        {"name": "quiet", "G": 0.84, "parts": [["whole day", 0.8, 0.95], ["worst class", 0.2, 0.9]],
         "prices": [["models", 500, 0.07], ["hosts", 9, 0.029], ["loads", 1, 0.001]]},
        {"name": "busy", "G": 0.7, "parts": [["whole day", 0.8, 0.8], ["worst class", 0.2, 0.75]],
         "prices": [["models", 600, 0.06], ["hosts", 9, 0.029], ["loads", 1, 0.001]]}]}"#;
    let entry: Entry = serde_json::from_str(text).unwrap();
    expect![[r"
        | lost to             | quiet | busy  |
        |---------------------|-------|-------|
        | models              | 0.070 | 0.060 |
        | credit: whole day   | 0.040 | 0.160 |
        | hosts               | 0.029 | 0.029 |
        | credit: worst class | 0.020 | 0.050 |
        | other causes        | 0.001 | 0.001 |
        | total               | 0.160 | 0.300 |"]]
    .assert_eq(&table(&entry));
}

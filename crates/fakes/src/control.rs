//! Switching faults: a JSON object that names only what is to change.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::answer::Answer;
use crate::call::Call;

/// Changes the faults that the call's body names and leaves the others, so that
/// several tests of one stand-in don't have to know each other's faults.
pub(crate) fn switch<F>(faults: &mut F, call: &Call) -> Answer
where
    F: Serialize + DeserializeOwned,
{
    let change: Value = match call.json() {
        Ok(it) => it,
        Err(answer) => return answer,
    };
    let merged = serde_json::to_value(&*faults).map(|current| merge(current, change));
    match merged.and_then(serde_json::from_value) {
        Ok(it) => *faults = it,
        Err(err) => return Answer::error(400, &err.to_string()),
    }
    Answer::ok(faults)
}

fn merge(current: Value, change: Value) -> Value {
    match (current, change) {
        (Value::Object(mut fields), Value::Object(change)) => {
            fields.extend(change);
            Value::Object(fields)
        }
        (_, change) => change,
    }
}

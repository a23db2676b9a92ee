//! Partial updates of a stand-in's faults over its control interface.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::call::Call;
use crate::response::Response;

/// Sets the faults that the call's body names and keeps the others. Responds with the resulting
/// faults, or with status 400 and no change when a name or value is invalid.
pub(crate) fn update_faults<F>(faults: &mut F, call: &Call) -> Response
where
    F: Serialize + DeserializeOwned,
{
    let change: Value = match call.json() {
        Ok(it) => it,
        Err(response) => return response,
    };
    let merged = serde_json::to_value(&*faults).map(|current| merge(current, change));
    match merged.and_then(serde_json::from_value) {
        Ok(it) => *faults = it,
        Err(err) => return Response::error(400, &err.to_string()),
    }
    Response::ok(faults)
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

//! The engine's record of an attempt.

use serde::{Deserialize, Serialize};

/// An attempt that an engine started to execute.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Execution {
    /// The request's id, as assigned by the entry host.
    pub request: String,
    /// The attempt's id, as assigned by the entry host.
    pub attempt: String,
    /// The caller's name for its call.
    pub call: String,
    /// The version that generated the response.
    pub version: String,
    /// The request class.
    pub class: String,
    /// Whether the response is good.
    pub good: bool,
    /// Start time in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Tokens generated; 0 until the execution ends.
    pub completion_tokens: u64,
    /// Cost at the version's actual price; 0 until the execution ends.
    pub cost_microcents: u64,
    /// The state of the execution.
    pub end: ExecutionState,
}

/// The state of an execution: running, or the way in which it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionState {
    /// The execution has not ended.
    Running,
    /// The complete response was generated.
    Complete,
    /// The entry host cancelled it.
    Cancelled,
    /// The entry host closed the connection.
    Disconnected,
    /// A fault closed the connection before the end of the response.
    Cut,
    /// A fault made the attempt fail.
    Failed,
}

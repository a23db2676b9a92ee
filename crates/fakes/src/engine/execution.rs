//! The engine's own record of one attempt.

use serde::{Deserialize, Serialize};

/// One attempt that an engine began to run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Execution {
    /// The request, as the entry host named it.
    pub request: String,
    /// The attempt, as the entry host named it.
    pub attempt: String,
    /// The caller's own name for its call.
    pub call: String,
    /// The version that ran.
    pub version: String,
    /// The request class.
    pub class: String,
    /// Whether the answer is good.
    pub good: bool,
    /// When it began, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Prompt tokens charged.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// What it cost by the version's true price.
    pub cost_microcents: u64,
    /// How it ended.
    pub end: End,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It still runs.
    Running,
    /// The whole answer was handed over.
    Complete,
    /// The entry host cancelled it.
    Cancelled,
    /// The reader went away.
    Disconnected,
    /// A fault cut the answer short.
    Cut,
    /// A fault answered with an error after the work.
    Failed,
}

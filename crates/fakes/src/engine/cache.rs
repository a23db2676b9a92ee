//! A cache of prompt prefixes with a limited number of entries.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::engine::prompt::Prompt;

/// Digests of the most recently used prefixes, the newest last.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    limit: usize,
    prefixes: VecDeque<u64>,
    hits: u64,
}

impl PrefixCache {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            prefixes: VecDeque::new(),
            hits: 0,
        }
    }

    pub(crate) fn hits(&self) -> u64 {
        self.hits
    }

    /// Adds the prefixes of a prompt and returns how many of its tokens were cached.
    pub(crate) fn insert(&mut self, prompt: &Prompt) -> u64 {
        if self.limit == 0 {
            return 0;
        }
        let mut cached = 0;
        for (tokens, text) in prompt.prefixes() {
            let digest = digest(&text);
            if let Some(idx) = self.prefixes.iter().position(|it| *it == digest) {
                self.prefixes.remove(idx);
                cached = tokens;
            }
            self.prefixes.push_back(digest);
        }
        while self.prefixes.len() > self.limit {
            self.prefixes.pop_front();
        }
        self.hits += u64::from(cached > 0);
        cached
    }
}

fn digest(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

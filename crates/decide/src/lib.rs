//! Pure decisions: cascade, health, endpoint choice, limits, retries and sessions.

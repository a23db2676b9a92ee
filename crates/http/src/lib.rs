//! HTTP/1.1 client and server around async-h1.

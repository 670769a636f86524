//! The operators remote procedure calls.

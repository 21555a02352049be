//! Checks the line breaks in the head of a response.
//!
//! The HTTP library takes a line feed alone for a line break. A stray one could end the head in its middle, and
//! the rest of the head would count as the start of the body.

use std::sync::atomic::{AtomicU8, Ordering};

/// Checks the head of one response after the other. The task that reads the connection and the one that sends
/// requests share it.
#[derive(Debug, Default)]
pub struct Checker(AtomicU8);

/// Behind the head, or before the first request.
const BODY: u8 = 0;
/// At the start of a line.
const LINE_START: u8 = 1;
/// Within a line.
const LINE: u8 = 2;
/// After a carriage return within a line.
const LINE_END: u8 = 3;
/// After a carriage return at the start of a line.
const HEAD_END: u8 = 4;

/// A line ends with a line feed alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stray;

impl Checker {
    /// Expects the head of a response. Where interim responses come first, that of the first one is checked.
    pub fn start(&self) {
        self.0.store(LINE_START, Ordering::Release);
    }

    /// Checks the bytes that were read next. Those behind the head are not looked at.
    pub fn check(&self, bytes: &[u8]) -> Result<(), Stray> {
        let mut state = self.0.load(Ordering::Acquire);
        for byte in bytes {
            state = match (state, byte) {
                (BODY, _) | (HEAD_END, b'\n') => BODY,
                (LINE_END, b'\n') => LINE_START,
                (_, b'\n') => return Err(Stray),
                (LINE_START, b'\r') => HEAD_END,
                (_, b'\r') => LINE_END,
                _ => LINE,
            };
            if state == BODY {
                break;
            }
        }
        self.0.store(state, Ordering::Release);
        Ok(())
    }
}

//! The text of a file, and the errors in it.

use crate::error::Errors;
use std::cell::RefCell;
use std::rc::Rc;

/// The text of a file, for line numbers, and the errors found so far.
pub(super) struct Source<'a> {
    text: &'a str,
    pub(super) errors: RefCell<Errors>,
}

impl<'a> Source<'a> {
    pub(super) fn new(text: &'a str) -> Rc<Source<'a>> {
        Rc::new(Source { text, errors: RefCell::default() })
    }

    /// The line that contains the byte at `offset`, counted from 1.
    pub(super) fn line(&self, offset: usize) -> usize {
        1 + self.text.as_bytes()[..offset.min(self.text.len())].iter().filter(|byte| **byte == b'\n').count()
    }
}

//! Helpers for the unit tests of this crate.

use arbtest::{arbitrary, arbtest};

/// Checks `property` on `runs` inputs of `size` random bytes each. The seeds are fixed, so that
/// every run of the suite gives the same result.
pub(crate) fn check(
    runs: u64,
    size: u32,
    mut property: impl FnMut(&mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()>,
) {
    for run in 1..=runs {
        arbtest(&mut property).seed(run << 32 | u64::from(size)).run();
    }
}

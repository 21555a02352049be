//! Helpers of the tests in this crate.

use arbtest::{arbitrary, arbtest};

/// Runs `property` with `runs` fixed seeds of `size` random bytes each, so that every run of the
/// suite gives the same verdict.
pub(crate) fn check(
    runs: u64,
    size: u32,
    mut property: impl FnMut(&mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()>,
) {
    for run in 1..=runs {
        arbtest(&mut property).seed(run << 32 | u64::from(size)).run();
    }
}

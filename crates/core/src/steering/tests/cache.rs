//! Tests what a host believes about the objects that an instance has cached.

use super::{
    super::cache::{Contents, Residence},
    support::at,
};

/// The memory for an instance's objects must be bounded.
#[test]
fn the_oldest_objects_are_forgotten() {
    let mut contents = Contents::default();
    for object in 0..500 {
        contents.record(at(object), object);
    }
    assert_eq!(contents.age(at(500), 0), None);
    assert_eq!(contents.age(at(500), 499), Some(at(500) - at(499)));
}

/// Objects that had to be loaded again must not be believed cached at the same age, and that belief
/// must end when the evidence is old.
#[test]
fn displaced_objects_shorten_the_residence_for_a_while() {
    let mut residence = Residence::new(at(0));
    let age = std::time::Duration::from_secs(2);
    for step in 0..6 {
        residence.record(at(step * 10), age, false);
    }
    assert!(residence.time(at(100)) < 2 * age);
    assert!(residence.time(at(60_000)) > 10 * age);
}

/// An object that nobody asked for must not be believed cached for ever.
#[test]
fn objects_are_believed_cached_for_a_limited_time() {
    let residence = Residence::new(at(0));
    let mut contents = Contents::default();
    contents.record(at(0), 499);
    let is_cached = |now| contents.age(now, 499).is_some_and(|age| age < residence.time(now));
    assert!(is_cached(at(500)));
    assert!(!is_cached(at(100_000)));
}

//! Tests of background tasks that end.

use marjorampick_steer::tasks::{Ended, Supervisor, contain};
use tokio::task::LocalSet;

/// A task that panicked or returned ended unseen, and the process went on without it.
#[tokio::test]
async fn the_end_of_a_task_is_reported() {
    LocalSet::new()
        .run_until(async {
            let (supervisor, mut ended) = Supervisor::new();
            supervisor.spawn("feed", async { panic!("entry {}", 7) }).await.unwrap();
            supervisor.spawn("peers", async {}).await.unwrap();
            let reports = [ended.recv().await.unwrap(), ended.recv().await.unwrap()];
            let report = |task, reason: &str| Ended { task, reason: reason.to_owned() };
            assert_eq!(reports, [report("feed", "panic: entry 7"), report("peers", "it returned")]);
        })
        .await;
}

/// An entry that caused a panic must cost that entry alone.
#[test]
fn a_panic_is_contained() {
    assert_eq!(contain(|| 7), Ok(7));
    let text = contain(|| std::hint::black_box(u32::MAX).checked_add(1).unwrap()).unwrap_err();
    assert!(text.starts_with("panic: "), "{text}");
}

//! Guards against a full queue that drops messages which are sent only once while it holds
//! heartbeats, which are repeated.

use super::queue::Queue;

#[tokio::test]
async fn a_full_queue_drops_the_oldest_heartbeat_first() {
    let queue = Queue::new(3);
    queue.push(vec![1], false);
    queue.push(vec![2], true);
    queue.push(vec![3], true);
    queue.push(vec![4], false);
    queue.push(vec![5], false);
    queue.push(vec![6], false);
    let mut remaining = Vec::new();
    while !queue.is_empty() {
        remaining.extend(queue.pop().await);
    }
    assert_eq!(remaining, [4, 5, 6], "heartbeats are dropped first, then the oldest message");
}

//! Tests of the memory that answers in transit share.

use std::time::Duration;

use bytes::Bytes;
use marjorampick_steer::backend::memory::{Exhausted, Memory, Window};
use tokio::time::timeout;

const KIB: usize = 1024;

/// Longest wait for memory that is not there.
const WAIT: Duration = Duration::from_millis(50);

async fn window(memory: &Memory) -> Option<Window> {
    timeout(WAIT, memory.reserve_window()).await.ok().map(Result::unwrap)
}

/// Takes pieces of this size until the window is full.
async fn fill(window: &Window, piece_bytes: usize) -> Vec<Bytes> {
    let mut pieces = Vec::new();
    while let Ok(room) = timeout(WAIT, window.room()).await {
        pieces.push(room.unwrap().hold(Bytes::from(vec![0; piece_bytes])));
    }
    pieces
}

/// Streams without a limit, or whose memory is free before their pieces are written, would exceed the memory
/// of the host.
#[tokio::test]
async fn streams_stay_within_the_memory() {
    let memory = Memory::new(160 * KIB);
    let mut windows = Vec::new();
    while let Some(window) = window(&memory).await {
        windows.push(window);
    }
    // Two of 64 KiB until half of the memory is in use, then one for each 16 KiB.
    assert_eq!(windows.len(), 4);
    let mut held = Vec::new();
    for window in &windows {
        held.push(fill(window, 16 * KIB).await);
    }
    assert_eq!(held.iter().map(Vec::len).collect::<Vec<_>>(), [4, 4, 1, 1]);
    drop(windows);
    assert!(window(&memory).await.is_none(), "the pieces are still held");
    held.remove(0);
    assert!(window(&memory).await.is_some(), "memory was not released");
}

/// Many short pieces take more memory than their bytes.
#[tokio::test]
async fn short_pieces_count_with_their_overhead() {
    let memory = Memory::new(1024 * KIB);
    let window = window(&memory).await.unwrap();
    let pieces = fill(&window, 1).await;
    assert!((150..300).contains(&pieces.len()), "{} pieces of one byte", pieces.len());
    drop(pieces);
    assert_eq!(fill(&window, 16 * KIB).await.len(), 4, "their room was not released");
}

/// Buffered answers must not take the memory that streams have reserved, and release theirs.
#[tokio::test]
async fn buffered_answers_share_the_memory() {
    let memory = Memory::new(128 * KIB);
    let stream = window(&memory).await.unwrap();
    let mut answer = memory.reserve();
    assert_eq!(answer.resize(64 * KIB), Ok(()), "so much needs no share");
    assert_eq!(answer.resize(129 * KIB), Err(Exhausted));
    assert_eq!(answer.resize(128 * KIB), Ok(()));
    assert!(window(&memory).await.is_none());
    assert_eq!(answer.resize(100 * KIB), Ok(()));
    assert!(window(&memory).await.is_some(), "what is no longer held was not released");
    drop((answer, stream));
    assert!(window(&memory).await.is_some());
}

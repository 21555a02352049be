//! The store client against the stand-in. Guards against a wrong outcome of a write whose response
//! is lost, calls that never end, and watches that miss changes or do not resume after an outage.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use marjorampick_core::{
    catalog::{Catalog, Update},
    host::event::{Write, WriteOutcome},
};
use marjorampick_link::store::{Fault, Store as Client};
use marjorampick_standin::store::{Faults, Store};
use tokio::{net::TcpListener, sync::mpsc, time::timeout};

/// Longest time that a call or an update may take.
const TIMEOUT: Duration = Duration::from_secs(3);

async fn start() -> (Arc<Store>, Client) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let store = Store::new();
    tokio::spawn(store.clone().serve(listener));
    let endpoint = format!("http://{address}").parse().expect("an address");
    (store, Client::new(vec![endpoint], "test/"))
}

fn write(head: u64, key: &str, value: &str, id: u64) -> Write {
    Write { expected_head: head, key: key.into(), value: value.into(), id }
}

/// Revision of a write that succeeded.
fn written_revision(outcome: WriteOutcome) -> u64 {
    match outcome {
        WriteOutcome::Done { revision } => revision,
        other => panic!("the write ended with {other:?}"),
    }
}

#[tokio::test]
async fn write_succeeds_only_at_the_expected_head() {
    let (_store, client) = start().await;
    assert_eq!(client.read_head().await, Ok(0));
    let first = written_revision(client.write(&write(0, "members", "m", 1)).await);
    let second = write(first, "documents/signing", "d", 2);
    let second = written_revision(client.write(&second).await);
    assert!(second > first);
    assert_eq!(client.read_head().await, Ok(second));
    let outdated = client.write(&write(first, "members", "late", 3)).await;
    assert_eq!(outdated, WriteOutcome::Conflict);
    let without_head = client.write(&write(0, "members", "late", 4)).await;
    assert_eq!(without_head, WriteOutcome::Conflict, "0 means that head must not exist");
    let update = client.read_records().await.expect("records");
    assert_eq!((update.since, update.through), (0, second));
    let records: Vec<(&str, u64)> =
        update.records.iter().map(|record| (&*record.key, record.revision)).collect();
    assert_eq!(records, [("documents/signing", second), ("members", first)]);
}

#[tokio::test]
async fn write_is_done_once_when_its_response_or_request_is_lost() {
    let (store, client) = start().await;
    store.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    let revision = written_revision(client.write(&write(0, "members", "m", 7)).await);
    assert_eq!(client.read_head().await, Ok(revision));
    assert_eq!(store.counts().0["txn"], 2, "one repetition");
    store.set_faults(Faults { lose_requests: 1, ..Faults::default() });
    let second = written_revision(client.write(&write(revision, "members", "n", 8)).await);
    let update = client.read_records().await.expect("records");
    assert_eq!(update.through, second, "written once");
}

#[tokio::test]
async fn calls_end_while_the_store_is_silent_or_down_and_work_afterwards() {
    let (store, client) = start().await;
    let revision = written_revision(client.write(&write(0, "members", "m", 1)).await);
    store.set_faults(Faults { silent: true, ..Faults::default() });
    let started = Instant::now();
    assert_eq!(client.read_head().await, Err(Fault::TimedOut));
    assert!(started.elapsed() < TIMEOUT);
    store.set_faults(Faults { down: true, ..Faults::default() });
    let refused = client.write(&write(revision, "members", "n", 2)).await;
    assert_eq!(refused, WriteOutcome::Unknown);
    store.set_faults(Faults::default());
    assert_eq!(client.read_head().await, Ok(revision));
}

#[tokio::test]
async fn write_that_cannot_be_sent_is_known_to_change_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let endpoint = format!("http://{address}").parse().expect("an address");
    let client = Client::new(vec![endpoint], "test/");
    assert_eq!(client.read_head().await, Err(Fault::NotSent));
    let refused = client.write(&write(0, "members", "m", 1)).await;
    assert_eq!(refused, WriteOutcome::Conflict);
}

/// Applies updates until the catalog is at `revision`. Panics when changes are missing between two
/// updates.
async fn apply_updates(catalog: &mut Catalog, updates: &mut mpsc::Receiver<Update>, revision: u64) {
    while catalog.revision() < revision {
        let update = timeout(TIMEOUT, updates.recv()).await;
        let update = update.expect("an update in time").expect("a watch");
        assert!(catalog.apply(&update).is_some(), "{update:?} leaves a gap");
    }
}

#[tokio::test]
async fn watch_misses_no_change_during_an_outage() {
    let (store, client) = start().await;
    let first = written_revision(client.write(&write(0, "members", "m", 1)).await);
    let (sender, mut updates) = mpsc::channel(16);
    let watching_client = client.clone();
    tokio::spawn(async move { watching_client.watch(sender).await });
    let mut catalog = Catalog::default();
    apply_updates(&mut catalog, &mut updates, first).await;
    let second = written_revision(client.write(&write(first, "documents/a", "1", 2)).await);
    apply_updates(&mut catalog, &mut updates, second).await;
    store.set_faults(Faults { down: true, ..Faults::default() });
    tokio::time::sleep(Duration::from_millis(50)).await;
    store.set_faults(Faults::default());
    let third = written_revision(client.write(&write(second, "documents/a", "2", 3)).await);
    apply_updates(&mut catalog, &mut updates, third).await;
    let record = catalog.record("documents/a").expect("a record");
    assert_eq!(&*record.value, "2");
}

#[tokio::test]
async fn silent_connection_is_replaced() {
    let (store, direct_client) = start().await;
    let revision = written_revision(direct_client.write(&write(0, "members", "m", 1)).await);
    let store_listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let store_address = store_listener.local_addr().expect("an address");
    tokio::spawn(store.serve(store_listener));
    let proxy = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = proxy.local_addr().expect("an address");
    let (silence_sender, is_silent) = tokio::sync::watch::channel(false);
    tokio::spawn(async move {
        // The first connection stops forwarding without being closed. Later connections work.
        for index in 0.. {
            let Ok((mut client_stream, _)) = proxy.accept().await else {
                return;
            };
            let mut is_silent = is_silent.clone();
            tokio::spawn(async move {
                let store_stream = tokio::net::TcpStream::connect(store_address).await;
                let mut store_stream = store_stream.expect("a connection");
                let can_fail = index == 0;
                let silence =
                    async { drop(is_silent.wait_for(|is_silent| *is_silent && can_fail).await) };
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut client_stream, &mut store_stream) => return,
                    () = silence => {}
                }
                std::future::pending::<()>().await;
            });
        }
    });
    let endpoint = format!("http://{address}").parse().expect("an address");
    let client = Client::new(vec![endpoint], "test/");
    assert_eq!(client.read_head().await, Ok(revision));
    silence_sender.send(true).expect("a proxy");
    let started = Instant::now();
    while client.read_head().await != Ok(revision) {
        assert!(started.elapsed() < Duration::from_secs(5), "still silent");
    }
}

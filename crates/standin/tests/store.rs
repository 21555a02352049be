//! The store client against the stand-in. Guards against writes that are reported wrongly when their
//! answer is lost, calls that wait for ever, and watches that miss or never resume changes.

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

/// Longest time for something that should happen at once.
const SOON: Duration = Duration::from_secs(3);

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

fn done(written: WriteOutcome) -> u64 {
    match written {
        WriteOutcome::Done { revision } => revision,
        other => panic!("the write ended with {other:?}"),
    }
}

#[tokio::test]
async fn writes_form_a_chain() {
    let (_store, client) = start().await;
    assert_eq!(client.read_head().await, Ok(0));
    let first = done(client.write(&write(0, "members", "m", 1)).await);
    let second = write(first, "documents/signing", "d", 2);
    let second = done(client.write(&second).await);
    assert!(second > first);
    assert_eq!(client.read_head().await, Ok(second));
    let late = client.write(&write(first, "members", "late", 3)).await;
    assert_eq!(late, WriteOutcome::Conflict);
    let again = client.write(&write(0, "members", "late", 4)).await;
    assert_eq!(again, WriteOutcome::Conflict, "0 means that head must not exist");
    let update = client.read_records().await.expect("records");
    assert_eq!((update.since, update.through), (0, second));
    let known: Vec<(&str, u64)> =
        update.records.iter().map(|record| (&*record.key, record.revision)).collect();
    assert_eq!(known, [("documents/signing", second), ("members", first)]);
}

#[tokio::test]
async fn a_write_whose_answer_is_lost_is_recognised() {
    let (store, client) = start().await;
    store.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    let revision = done(client.write(&write(0, "members", "m", 7)).await);
    assert_eq!(client.read_head().await, Ok(revision));
    assert_eq!(store.counts().0["txn"], 2, "one repetition");
    store.set_faults(Faults { lose_requests: 1, ..Faults::default() });
    let second = done(client.write(&write(revision, "members", "n", 8)).await);
    let update = client.read_records().await.expect("records");
    assert_eq!(update.through, second, "written once");
}

#[tokio::test]
async fn calls_end_while_the_store_is_silent_or_down_and_work_afterwards() {
    let (store, client) = start().await;
    let revision = done(client.write(&write(0, "members", "m", 1)).await);
    store.set_faults(Faults { silent: true, ..Faults::default() });
    let started = Instant::now();
    assert_eq!(client.read_head().await, Err(Fault::Late));
    assert!(started.elapsed() < SOON);
    store.set_faults(Faults { down: true, ..Faults::default() });
    let refused = client.write(&write(revision, "members", "n", 2)).await;
    assert_eq!(refused, WriteOutcome::Unknown);
    store.set_faults(Faults::default());
    assert_eq!(client.read_head().await, Ok(revision));
}

#[tokio::test]
async fn a_write_that_cannot_be_sent_is_known_to_change_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let endpoint = format!("http://{address}").parse().expect("an address");
    let client = Client::new(vec![endpoint], "test/");
    assert_eq!(client.read_head().await, Err(Fault::NotSent));
    let refused = client.write(&write(0, "members", "m", 1)).await;
    assert_eq!(refused, WriteOutcome::Conflict);
}

/// Applies updates until the catalog is at `revision`; a gap fails the test.
async fn follow(catalog: &mut Catalog, updates: &mut mpsc::Receiver<Update>, revision: u64) {
    while catalog.revision() < revision {
        let update = timeout(SOON, updates.recv()).await;
        let update = update.expect("an update in time").expect("a watch");
        assert!(catalog.apply(&update).is_some(), "{update:?} leaves a gap");
    }
}

#[tokio::test]
async fn a_watch_misses_nothing_over_an_outage() {
    let (store, client) = start().await;
    let first = done(client.write(&write(0, "members", "m", 1)).await);
    let (sender, mut updates) = mpsc::channel(16);
    let watching = client.clone();
    tokio::spawn(async move { watching.watch(sender).await });
    let mut catalog = Catalog::default();
    follow(&mut catalog, &mut updates, first).await;
    let second = done(client.write(&write(first, "documents/a", "1", 2)).await);
    follow(&mut catalog, &mut updates, second).await;
    store.set_faults(Faults { down: true, ..Faults::default() });
    tokio::time::sleep(Duration::from_millis(50)).await;
    store.set_faults(Faults::default());
    let third = done(client.write(&write(second, "documents/a", "2", 3)).await);
    follow(&mut catalog, &mut updates, third).await;
    let record = catalog.record("documents/a").expect("a record");
    assert_eq!(&*record.value, "2");
}

#[tokio::test]
async fn a_connection_that_goes_silent_is_replaced() {
    let (store, direct) = start().await;
    let revision = done(direct.write(&write(0, "members", "m", 1)).await);
    let target = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let target_address = target.local_addr().expect("an address");
    tokio::spawn(store.serve(target));
    let relay = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = relay.local_addr().expect("an address");
    let (silence, silent) = tokio::sync::watch::channel(false);
    tokio::spawn(async move {
        // The first connection goes silent without being closed; new ones work.
        for index in 0.. {
            let Ok((mut near, _)) = relay.accept().await else {
                return;
            };
            let mut silent = silent.clone();
            tokio::spawn(async move {
                let far = tokio::net::TcpStream::connect(target_address).await;
                let mut far = far.expect("a connection");
                let fails = index == 0;
                let silenced = async { drop(silent.wait_for(|is| *is && fails).await) };
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut near, &mut far) => return,
                    () = silenced => {}
                }
                std::future::pending::<()>().await;
            });
        }
    });
    let endpoint = format!("http://{address}").parse().expect("an address");
    let client = Client::new(vec![endpoint], "test/");
    assert_eq!(client.read_head().await, Ok(revision));
    silence.send(true).expect("a relay");
    let started = Instant::now();
    while client.read_head().await != Ok(revision) {
        assert!(started.elapsed() < Duration::from_secs(5), "still silent");
    }
}

//! Guards against accepting messages of another fleet's hosts or of a host that states another's
//! name as the sender, and against a connection that isn't reopened after its peer was restarted.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use marjorampick_core::{
    member::HeartbeatReply,
    message::{Envelope, Message, Sender},
};
use marjorampick_link::{
    certificate::{self, Pair},
    peer::{Credentials, Peers},
};
use tokio::{runtime::Runtime, sync::mpsc, time::timeout};

/// Port of all hosts, each of which has its own loopback address.
const PORT: u16 = 7100;

/// Timeout for a message that must arrive, also after a restart of the peer.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which a message over loopback is taken as lost.
const LOSS_TIMEOUT: Duration = Duration::from_millis(500);

struct Host {
    peers: Peers,
    address: SocketAddr,
    received: mpsc::Receiver<Envelope>,
}

/// Address of the host with the number `host`. The process id is part of it, so that test runs at
/// the same time use different addresses.
fn address(host: u8) -> SocketAddr {
    let process = std::process::id();
    let second = 16 + u8::try_from((process >> 8) % 239).expect("a byte");
    let third = u8::try_from(process % 256).expect("a byte");
    SocketAddr::from((Ipv4Addr::new(127, second, third, host), PORT))
}

/// Opens a host with a certificate for `certified_name` that states `name` as the sender.
fn open(authority: &Pair, certified_name: &str, name: &str, address: SocketAddr) -> Host {
    let pair = certificate::issue(authority, certified_name, &[]).expect("a certificate");
    let credentials = Credentials::from_pem(&authority.certificate, &pair.certificate, &pair.key);
    let from = Sender { host: name.into(), incarnation: 1, peer: address };
    let (sender, received) = mpsc::channel(16);
    let peers = Peers::open(from, &credentials.expect("credentials"), sender);
    Host { peers: peers.expect("a transport"), address, received }
}

fn message(sequence: u64) -> Message {
    Message::HeartbeatReply(HeartbeatReply { sequence, revision: 0 })
}

#[tokio::test]
async fn only_messages_of_the_fleet_with_their_real_sender_are_accepted() {
    let authority = certificate::create_authority().expect("an authority");
    let mut a = open(&authority, "a", "a", address(1));
    let b = open(&authority, "b", "b", address(2));
    b.peers.send(a.address, message(1));
    let received = timeout(ARRIVAL_TIMEOUT, a.received.recv()).await.expect("in time");
    let received = received.expect("a message");
    assert_eq!((&*received.from.host, received.from.peer), ("b", b.address));
    assert_eq!(received.message, message(1));

    // Has a certificate of the fleet, but for another name than it states.
    let impersonator = open(&authority, "c", "b", address(3));
    impersonator.peers.send(a.address, message(2));
    // Has a certificate of another certificate authority.
    let other_authority = certificate::create_authority().expect("an authority");
    let foreign = open(&other_authority, "b", "b", address(4));
    foreign.peers.send(a.address, message(3));
    a.peers.send(foreign.address, message(4));
    let mut foreign_received = foreign.received;
    let (at_a, at_foreign) = tokio::join!(
        timeout(LOSS_TIMEOUT, a.received.recv()),
        timeout(LOSS_TIMEOUT, foreign_received.recv()),
    );
    assert!(at_a.is_err(), "{at_a:?}");
    assert!(at_foreign.is_err(), "{at_foreign:?}");
}

#[test]
fn messages_reach_a_peer_after_its_restart() {
    let authority = certificate::create_authority().expect("an authority");
    let runtime = runtime();
    let a = runtime.block_on(async { open(&authority, "a", "a", address(5)) });
    // The peer has its own runtime. Shutting that down closes the socket without closing the
    // connections, as a crash does.
    let crashing_runtime = self::runtime();
    let mut b = crashing_runtime.block_on(async { open(&authority, "b", "b", address(6)) });
    a.peers.send(b.address, message(1));
    let received =
        crashing_runtime.block_on(async { timeout(ARRIVAL_TIMEOUT, b.received.recv()).await });
    assert!(received.is_ok_and(|received| received.is_some()));
    crashing_runtime.shutdown_timeout(ARRIVAL_TIMEOUT);
    drop(b);

    let mut b = runtime.block_on(async { open(&authority, "b", "b", address(6)) });
    let send_until_received = async {
        for sequence in 2.. {
            a.peers.send(b.address, message(sequence));
            if timeout(LOSS_TIMEOUT, b.received.recv()).await.is_ok() {
                return;
            }
        }
    };
    let received = runtime.block_on(async { timeout(ARRIVAL_TIMEOUT, send_until_received).await });
    received.expect("a message arrives after the restart");
}

fn runtime() -> Runtime {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
    runtime.expect("a runtime")
}

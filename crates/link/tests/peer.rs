//! Guards against messages from hosts of another fleet or in another host's name, and against a
//! connection that stays dead after its peer was replaced.

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

/// Port of every host.
const PORT: u16 = 7100;

/// Longest time until a replaced peer hears again.
const SOON: Duration = Duration::from_secs(4);

/// Time in which a message on loopback arrives if it arrives at all.
const LOOPBACK: Duration = Duration::from_millis(500);

struct Host {
    peers: Peers,
    address: SocketAddr,
    received: mpsc::Receiver<Envelope>,
}

/// Address of a host of these tests. Each process has its own part of the loopback network, so that
/// test runs at the same time do not meet.
fn address(host: u8) -> SocketAddr {
    let process = std::process::id();
    let second = 16 + u8::try_from((process >> 8) % 239).expect("a byte");
    let third = u8::try_from(process % 256).expect("a byte");
    SocketAddr::from((Ipv4Addr::new(127, second, third, host), PORT))
}

/// Opens a host that presents a certificate for `certified` and sends as `name`.
fn open(authority: &Pair, certified: &str, name: &str, address: SocketAddr) -> Host {
    let pair = certificate::issue(authority, certified, &[]).expect("a certificate");
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
async fn only_hosts_of_the_fleet_are_heard_and_only_in_their_own_name() {
    let authority = certificate::create_authority().expect("an authority");
    let mut a = open(&authority, "a", "a", address(1));
    let b = open(&authority, "b", "b", address(2));
    b.peers.send(a.address, message(1));
    let heard = timeout(SOON, a.received.recv()).await.expect("in time");
    let heard = heard.expect("a message");
    assert_eq!((&*heard.from.host, heard.from.peer), ("b", b.address));
    assert_eq!(heard.message, message(1));

    let liar = open(&authority, "c", "b", address(3));
    liar.peers.send(a.address, message(2));
    let other = certificate::create_authority().expect("an authority");
    let stranger = open(&other, "b", "b", address(4));
    stranger.peers.send(a.address, message(3));
    a.peers.send(stranger.address, message(4));
    let mut stranger_received = stranger.received;
    let (heard, stolen) = tokio::join!(
        timeout(LOOPBACK, a.received.recv()),
        timeout(LOOPBACK, stranger_received.recv()),
    );
    assert!(heard.is_err(), "{heard:?}");
    assert!(stolen.is_err(), "{stolen:?}");
}

#[test]
fn a_replaced_peer_hears_again() {
    let authority = certificate::create_authority().expect("an authority");
    let runtime = runtime();
    let a = runtime.block_on(async { open(&authority, "a", "a", address(5)) });
    // The peer has a runtime of its own, which ends with its socket and without a farewell.
    let crashing = self::runtime();
    let mut b = crashing.block_on(async { open(&authority, "b", "b", address(6)) });
    a.peers.send(b.address, message(1));
    let heard = crashing.block_on(async { timeout(SOON, b.received.recv()).await });
    assert!(heard.is_ok_and(|heard| heard.is_some()));
    crashing.shutdown_timeout(SOON);
    drop(b);

    let mut b = runtime.block_on(async { open(&authority, "b", "b", address(6)) });
    let replaced = async {
        for sequence in 2.. {
            a.peers.send(b.address, message(sequence));
            if timeout(LOOPBACK, b.received.recv()).await.is_ok() {
                return;
            }
        }
    };
    let heard = runtime.block_on(async { timeout(SOON, replaced).await });
    heard.expect("heard again");
}

fn runtime() -> Runtime {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
    runtime.expect("a runtime")
}

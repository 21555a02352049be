//! Measures how message sizes, times and memory grow with the number of members, budgets, documents
//! and workspaces. docs/CAPACITY.md uses the growth per unit.
//!
//! `cargo run --release -p marjorampick-link --example slopes`

use std::{
    fs,
    hint::black_box,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use marjorampick_core::{
    budget::{Budget, Spare},
    catalog::{Record, Update},
    document::Digest,
    host::{CurrencySource, Host, Identity, event::Event},
    member::{Heartbeat, HeartbeatReply, Member, roster::Roster},
    message::{Envelope, Message, Sender},
};
use marjorampick_link::convert;

/// Number of heartbeats over which the printed mean is taken.
const HEARTBEAT_COUNT: u32 = 2_000;

fn main() {
    println!("heartbeat size by spare budgets");
    for count in [0, 8, 64, 512] {
        let bytes = encoded_length(&Message::Heartbeat(heartbeat(count)));
        println!("  {count:>6} budgets  {bytes:>8} bytes");
    }
    let reply = HeartbeatReply { sequence: u64::MAX >> 1, revision: 1 << 30 };
    println!("heartbeat reply  {} bytes", encoded_length(&Message::HeartbeatReply(reply)));
    println!("time by members: one heartbeat received with its reply, one round sent (tick)");
    for count in [8, 60, 120, 480] {
        let (receive_time, tick_time) = member_costs(count);
        println!("  {count:>6} members  {receive_time:>10.2?} received  {tick_time:>10.2?} sent");
    }
    println!("time and memory by documents, each with 8 workspaces");
    for count in [10, 100, 1000] {
        let (bytes, load_time, change_time, memory) = document_costs(count, 8);
        println!(
            "  {count:>6} documents  {bytes:>6} bytes each  {load_time:>10.2?} to load all  \
             {change_time:>10.2?} for one change  {:>8} bytes of memory each",
            memory / count
        );
    }
    println!("time and memory by workspaces of one document");
    for count in [8, 100, 1000] {
        let (bytes, load_time, change_time, memory) = document_costs(1, count);
        println!(
            "  {count:>6} workspaces  {bytes:>6} bytes  {load_time:>10.2?} to load  {change_time:>10.2?} for one \
             change  {:>8} bytes of memory each",
            memory / count
        );
    }
}

fn encoded_length(message: &Message) -> usize {
    let from = sender(1);
    let envelope = Envelope { from, message: message.clone() };
    convert::encode(&envelope).len()
}

fn heartbeat(budgets: usize) -> Heartbeat {
    let spare = |index| Spare {
        budget: Budget::Workspace {
            service: Arc::from("contract-signing"),
            workspace: Arc::from(format!("workspace-{index:04}")),
        },
        amount: 100,
    };
    Heartbeat {
        sequence: u64::MAX >> 1,
        revision: 1 << 30,
        suspected: Vec::new(),
        spare: (0..budgets).map(spare).collect(),
        leaving: false,
    }
}

fn address(index: usize) -> SocketAddr {
    let [high, low] = u16::try_from(index).unwrap_or(u16::MAX).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000))
}

fn sender(index: usize) -> Sender {
    let host = Arc::from(format!("ee-north-host-{index:04}"));
    Sender { host, incarnation: u64::MAX - index as u64, peer: address(index) }
}

fn member(index: usize) -> Member {
    let sender = sender(index);
    Member {
        host: sender.host,
        incarnation: sender.incarnation,
        region: Arc::from("ee-north"),
        domain: Arc::from(format!("domain-{:02}", index % 60)),
        peer: sender.peer,
        callers: sender.peer,
    }
}

fn host() -> Host {
    let identity = Identity { member: member(0), currency_source: CurrencySource::StoreOrMembers };
    let mut state = 1_u64;
    Host::new(identity, Vec::new(), move || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        state
    })
}

/// Mean time to receive a heartbeat and mean time of a tick, with `count` members.
fn member_costs(count: usize) -> (Duration, Duration) {
    let mut host = host();
    let members: Vec<Member> = (0..count).map(member).collect();
    let value = Roster { members, ..Roster::default() }.to_text().expect("a valid table");
    let record = Record { key: Arc::from("members"), revision: 1, value };
    host.handle(
        Duration::ZERO,
        Event::RecordsUpdated(Update { since: 0, through: 1, records: vec![record] }),
    );
    let mut now = Duration::from_secs(1);
    let start = Instant::now();
    for run in 0..HEARTBEAT_COUNT {
        now += Duration::from_millis(1);
        let message = Message::Heartbeat(heartbeat(8));
        let envelope = Envelope { from: sender(1 + run as usize % (count - 1)), message };
        black_box(host.handle(now, Event::MessageReceived(envelope)));
    }
    let receive_time = start.elapsed() / HEARTBEAT_COUNT;
    let mut tick_time = Duration::ZERO;
    for _ in 0..100 {
        now += Duration::from_millis(500);
        let start = Instant::now();
        black_box(host.tick(now));
        tick_time += start.elapsed();
    }
    (receive_time, tick_time / 100)
}

fn document(service: usize, workspaces: usize, rate: usize) -> Arc<str> {
    let mut text = format!(
        "service = \"service-{service}\"\n[[route]]\npath = \"/\"\nclass = \"status\"\n\
         [[region]]\nname = \"ee-north\"\nweight = 1\nslots_per_backend = 9\n"
    );
    for index in 0..workspaces {
        let digest = Digest::of_key(format!("{service}-{index}").as_bytes()).to_text();
        text += &format!(
            "[[workspace]]\nname = \"workspace-{index}\"\nrate_per_second = {rate}\nburst = 10\n\
             keys = [\"{digest}\"]\n"
        );
    }
    Arc::from(text)
}

/// Length of one document in bytes, time to load all documents, mean time of the change of one
/// document, and memory of all documents in bytes.
fn document_costs(documents: usize, workspaces: usize) -> (usize, Duration, Duration, usize) {
    let record = |service: usize, revision, rate| Record {
        key: Arc::from(format!("documents/service-{service}")),
        revision,
        value: document(service, workspaces, rate),
    };
    let records: Vec<Record> = (0..documents).map(|service| record(service, 1, 5)).collect();
    let bytes = records[0].value.len();
    let before = resident_bytes();
    let mut host = host();
    let start = Instant::now();
    host.handle(Duration::ZERO, Event::RecordsUpdated(Update { since: 0, through: 1, records }));
    let load_time = start.elapsed();
    let memory = resident_bytes().saturating_sub(before);
    let change_count = 20;
    let mut change_time = Duration::ZERO;
    for revision in 2..2 + change_count {
        let records = vec![record(0, revision, 5 + revision as usize)];
        let update = Update { since: revision - 1, through: revision, records };
        let start = Instant::now();
        black_box(host.handle(Duration::from_secs(revision), Event::RecordsUpdated(update)));
        change_time += start.elapsed();
    }
    (bytes, load_time, change_time / change_count as u32, memory)
}

/// Resident memory of this process, from `/proc/self/statm`.
fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4096;
    let statistics = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statistics.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

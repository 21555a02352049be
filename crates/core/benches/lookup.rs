//! Look-ups, changes of a group and builds at several numbers of client blocks and sites.
//!
//! Two thirds of the blocks are IPv4 (/16 to /24), the others IPv6 (/32 to /48), at random places, so
//! that many are nested. Each site has a group whose answer holds the addresses of 8 sites.

use std::{
    collections::HashSet,
    hint::black_box,
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
    sync::Arc,
    time::Duration,
};

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use marjorampick_core::lookup::{Block, Blocks, Group, Prefix, Table};

const BLOCKS: [usize; 3] = [1_000, 100_000, 3_100_000];
const SITES: [usize; 3] = [3, 180, 1_800];
const ADDRESSES: usize = 1 << 16;

type Answer = Vec<IpAddr>;

/// A sequence of numbers that is the same in every run (xorshift).
struct Numbers(u64);

impl Numbers {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}

fn prefix(numbers: &mut Numbers) -> Prefix {
    let number = numbers.next();
    let choice = numbers.next();
    if choice % 3 < 2 {
        let length = 16 + (choice / 3 % 9) as u8;
        let address = Ipv4Addr::from_bits((number as u32) >> (32 - length) << (32 - length));
        return Prefix { address: address.into(), length };
    }
    let length = 32 + (choice / 3 % 17) as u8;
    // Within 2000::/4, where addresses are assigned.
    let bits = u128::from(number >> 4 | 2 << 60) << 64;
    let address = Ipv6Addr::from_bits(bits >> (128 - length) << (128 - length));
    Prefix { address: address.into(), length }
}

fn blocks(count: usize, sites: usize) -> Vec<Block> {
    let mut numbers = Numbers(42);
    let mut known = HashSet::with_capacity(count);
    while known.len() < count {
        known.insert(prefix(&mut numbers));
    }
    let group = |prefix: Prefix| {
        let index = numbers.next() as usize % sites;
        Block { prefix, group: Group::new(index).expect("a small index") }
    };
    known.into_iter().map(group).collect()
}

fn answers(sites: usize) -> Vec<Arc<Answer>> {
    let address = |site: usize| IpAddr::from(Ipv4Addr::from_bits(site as u32));
    let answer = |site: usize| (site..site + 8).map(|near| address(near % sites)).collect();
    (0..sites).map(|site| Arc::new(answer(site))).collect()
}

/// Addresses of clients: half of them in a block, the others anywhere.
fn addresses(blocks: &[Block]) -> Vec<IpAddr> {
    let mut numbers = Numbers(7);
    let mut address = |index: usize| {
        let number = numbers.next();
        match blocks[number as usize % blocks.len()].prefix.address {
            first if index.is_multiple_of(2) => first,
            IpAddr::V4(_) => Ipv4Addr::from_bits(number as u32).into(),
            IpAddr::V6(_) => Ipv6Addr::from_bits(u128::from(number >> 4 | 2 << 60) << 64).into(),
        }
    };
    (0..ADDRESSES).map(&mut address).collect()
}

fn lookup(criterion: &mut Criterion) {
    let mut benches = criterion.benchmark_group("lookup");
    benches.sample_size(20).measurement_time(Duration::from_secs(2));
    benches.warm_up_time(Duration::from_millis(500));
    for count in BLOCKS {
        for sites in SITES {
            let source = blocks(count, sites);
            let clients = addresses(&source);
            let flat = Arc::new(Blocks::new(source.iter().copied()).expect("valid blocks"));
            let bytes = flat.memory_bytes() as f64 / count as f64;
            eprintln!("{count} blocks: {} ranges, {bytes:.1} bytes per block", flat.range_count());
            let fallback = Arc::new(Answer::new());
            let mut table = Table::new(flat, answers(sites), fallback).expect("every answer");
            let id = |what| BenchmarkId::new(what, format!("{count} blocks {sites} sites"));
            let mut index = 0;
            benches.bench_function(id("answer"), |bencher| {
                bencher.iter(|| {
                    index = (index + 1) % ADDRESSES;
                    black_box(table.answer(black_box(clients[index])).len())
                });
            });
            // A new snapshot with one changed answer, as readers keep the old one.
            let answer = table.answer(clients[0]).clone();
            let group = Group::new(sites / 2).expect("a small index");
            benches.bench_function(id("change a group"), |bencher| {
                bencher.iter(|| {
                    let mut next = table.clone();
                    next.set_answer(group, answer.clone()).expect("a known group");
                    table = next;
                });
            });
        }
    }
    benches.finish();
}

fn build(criterion: &mut Criterion) {
    let mut benches = criterion.benchmark_group("build");
    benches.sample_size(10).measurement_time(Duration::from_secs(2));
    for count in BLOCKS {
        let source = blocks(count, 180);
        benches.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            let copy = || source.clone();
            bencher.iter_batched(copy, Blocks::new, BatchSize::PerIteration);
        });
    }
    benches.finish();
}

criterion_group!(benches, lookup, build);
criterion_main!(benches);

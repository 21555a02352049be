//! Benchmarks lookups, changes of one group's answer and builds for several numbers of client
//! blocks and sites.
//!
//! Two thirds of the blocks are IPv4 (/16 to /24), the others IPv6 (/32 to /48), at random
//! addresses, so that many are nested. Each site has a group whose answer has the addresses of 8
//! sites.

use std::{
    collections::HashSet,
    hint::black_box,
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
    sync::Arc,
    time::Duration,
};

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use marjorampick_core::lookup::{Block, Blocks, Group, Prefix, Table};

const BLOCK_COUNTS: [usize; 3] = [1_000, 100_000, 3_100_000];
const SITE_COUNTS: [usize; 3] = [3, 180, 1_800];
const ADDRESS_COUNT: usize = 1 << 16;

type Answer = Vec<IpAddr>;

/// Pseudorandom number generator (xorshift) with a fixed seed, so that every run uses the same
/// data.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}

fn prefix(random: &mut Random) -> Prefix {
    let number = random.next();
    let choice = random.next();
    if choice % 3 < 2 {
        let length = 16 + (choice / 3 % 9) as u8;
        let address = Ipv4Addr::from_bits((number as u32) >> (32 - length) << (32 - length));
        return Prefix { address: address.into(), length };
    }
    let length = 32 + (choice / 3 % 17) as u8;
    // Within 2000::/4, a part of the global unicast range.
    let bits = u128::from(number >> 4 | 2 << 60) << 64;
    let address = Ipv6Addr::from_bits(bits >> (128 - length) << (128 - length));
    Prefix { address: address.into(), length }
}

fn blocks(count: usize, sites: usize) -> Vec<Block> {
    let mut random = Random(42);
    let mut known = HashSet::with_capacity(count);
    while known.len() < count {
        known.insert(prefix(&mut random));
    }
    let group = |prefix: Prefix| {
        let index = random.next() as usize % sites;
        Block { prefix, group: Group::new(index).expect("a small index") }
    };
    known.into_iter().map(group).collect()
}

fn answers(sites: usize) -> Vec<Arc<Answer>> {
    let address = |site: usize| IpAddr::from(Ipv4Addr::from_bits(site as u32));
    let answer = |site: usize| (site..site + 8).map(|index| address(index % sites)).collect();
    (0..sites).map(|site| Arc::new(answer(site))).collect()
}

/// Client addresses: half of them are the first address of a block, the others are random.
fn addresses(blocks: &[Block]) -> Vec<IpAddr> {
    let mut random = Random(7);
    let mut address = |index: usize| {
        let number = random.next();
        match blocks[number as usize % blocks.len()].prefix.address {
            first if index.is_multiple_of(2) => first,
            IpAddr::V4(_) => Ipv4Addr::from_bits(number as u32).into(),
            IpAddr::V6(_) => Ipv6Addr::from_bits(u128::from(number >> 4 | 2 << 60) << 64).into(),
        }
    };
    (0..ADDRESS_COUNT).map(&mut address).collect()
}

fn lookup(criterion: &mut Criterion) {
    let mut benches = criterion.benchmark_group("lookup");
    benches.sample_size(20).measurement_time(Duration::from_secs(2));
    benches.warm_up_time(Duration::from_millis(500));
    for count in BLOCK_COUNTS {
        for sites in SITE_COUNTS {
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
                    index = (index + 1) % ADDRESS_COUNT;
                    black_box(table.answer(black_box(clients[index])).len())
                });
            });
            // Changes a clone of the table, since readers may still use the old one.
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
    for count in BLOCK_COUNTS {
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

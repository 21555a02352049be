//! Time of one choice of an instance, by the number of instances of the service.

use std::{collections::HashMap, hint::black_box, sync::Arc, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use marjorampick_core::steering::{
    fleet::{Criteria, Fleet, Locality},
    instance::{Endpoint, Outcome},
    load::Report,
};

const INSTANCES: [usize; 3] = [50, 250, 3000];
const OBJECTS: u64 = 350;
const SLOTS: u32 = 9;
const SERVICE: &str = "status";
const NOW: Duration = Duration::from_secs(1000);

fn domain(region: usize) -> Arc<str> {
    Arc::from(format!("domain-{region}").as_str())
}

fn fleet(instances: usize) -> Fleet {
    let regions = 0..3;
    let mut fleet = Fleet::new(Locality {
        host: Arc::from("host"),
        region: Arc::from("region-0"),
        domain: domain(0),
        domain_regions: regions
            .map(|region| (domain(region), Arc::from(format!("region-{region}").as_str())))
            .collect::<HashMap<_, _>>(),
    });
    for index in 0..instances {
        fleet.register(
            NOW,
            Endpoint {
                id: Arc::from(format!("i-{index:08x}").as_str()),
                service: Arc::from(SERVICE),
                address: "127.0.0.1:9000".parse().expect("an address"),
                domain: domain(index % 3),
                slots: SLOTS,
                incarnation: 1,
                is_draining: false,
                warmup_left: Duration::ZERO,
            },
        );
    }
    fleet.finish_initial_sync();
    fleet
}

fn choice(criterion: &mut Criterion) {
    let route: Arc<str> = Arc::from("read");
    let mut group = criterion.benchmark_group("choice");
    for instances in INSTANCES {
        let mut fleet = fleet(instances);
        let mut object = 0_u64;
        group.bench_function(BenchmarkId::from_parameter(instances), |bencher| {
            bencher.iter(|| {
                object = (object + 1) % OBJECTS;
                let criteria = Criteria {
                    service: SERVICE,
                    route: &route,
                    route_regions: &[],
                    workspace_regions: &[],
                    object_hash: Some(object),
                    excluded: &[],
                    priority: 1,
                    route_priority: 1,
                    target_latency: Some(Duration::from_millis(400)),
                    locality_draw: 0.1,
                    admission_draw: 0.5,
                    body_bytes: 0,
                };
                let choice = fleet.choose(NOW, &criteria).expect("an instance");
                fleet.start_request(NOW, &choice);
                let report = Report { running: 3, waiting: 0, slots: SLOTS, factor: None };
                let outcome = Outcome::Answered(Duration::from_millis(150));
                fleet.end_request(NOW, &choice, outcome, Some(report));
                black_box(choice.cost_seconds)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, choice);
criterion_main!(benches);

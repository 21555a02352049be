//! Guards against an ejected backend server that is never readmitted, and against new work for one
//! whose health check says `draining`.

use std::{sync::Arc, time::Duration};

use marjorampick_core::{
    document::Document,
    host::event::{ListedHost, ListedState},
    message::ServiceWeights,
};
use marjorampick_entry::{
    callers::{self, Callers, fleet::Instance, tokens::Tokens},
    probes,
    shared::{Request, Service, Shared, Snapshot},
};
use marjorampick_standin::backend::{Backend, Settings};
use tokio::{net::TcpListener, sync::mpsc, time::timeout};

/// Longer than a first ejection and than the interval of the probes.
const PROBE_BOUND: Duration = Duration::from_secs(5);

const DOCUMENT: &str = "service = \"a\"\n[[route]]\npath = \"/\"\nclass = \"a\"\n\
    [[region]]\nname = \"north\"\nweight = 1\nslots_per_backend = 1\n";

fn snapshot(listed: ListedHost) -> Snapshot {
    let document = Document::parse(DOCUMENT).expect("a document");
    let service = Service {
        document: Arc::new(document),
        revision: 1,
        weights: ServiceWeights { service: "a".into(), regions: vec![("north".into(), 1.0)] },
        backends: vec![listed],
    };
    Snapshot { services: [("a".into(), service)].into(), entry_hosts: Vec::new() }
}

/// Waits for a report of a region with this `is_lost`.
async fn wait_for_region_report(requests: &mut mpsc::Receiver<Request>, is_lost: bool) {
    while let Some(request) = requests.recv().await {
        let Request::RegionReports(reports) = request else {
            continue;
        };
        if reports.iter().any(|report| report.is_lost == is_lost) {
            return;
        }
    }
}

/// Polls until the instance may, or may not, get requests.
async fn wait_for_eligibility(instance: &Instance, shared: &Shared, is_eligible: bool) {
    while instance.status().is_eligible(shared.now()) != is_eligible {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn an_ejected_instance_is_readmitted_and_a_draining_one_is_left() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let listed = ListedHost {
        name: "a-1".into(),
        service: Some("a".into()),
        region: "north".into(),
        domain: "north-1".into(),
        address: listener.local_addr().expect("an address"),
        state: ListedState::Live,
    };
    let backend = Backend::new(Settings::default());
    tokio::spawn(backend.clone().serve(listener));
    let (shared, mut requests) = Shared::new("host".into(), "north".into());
    shared.snapshot.store(Arc::new(snapshot(listed)));
    let settings = callers::Settings::default();
    let callers = Callers::new(shared.clone(), settings, Tokens::unlimited());
    let published = shared.snapshot.load_full();
    let instances = callers.fleet().instances(shared.now(), &published, "a");
    let instance = instances.first().expect("an instance");

    while instance.status().is_eligible(shared.now()) {
        let now = shared.now();
        instance.status().record_failure(now, now);
    }
    tokio::spawn(probes::run(shared.clone(), callers.clone()));
    let lost = timeout(PROBE_BOUND, wait_for_region_report(&mut requests, true)).await;
    lost.expect("a report that the only region is lost");
    let readmitted = timeout(PROBE_BOUND, wait_for_eligibility(instance, &shared, true)).await;
    readmitted.expect("readmission by a probe");

    backend.announce_drain();
    let ineligible = timeout(PROBE_BOUND, wait_for_eligibility(instance, &shared, false)).await;
    ineligible.expect("no new work once health says draining");
}

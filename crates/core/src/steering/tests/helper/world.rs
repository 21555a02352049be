//! Hosts that pass requests on to each other while some of them are cut off, in virtual time.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use super::{
    super::{
        super::{
            fleet::Locality,
            helper::{Book, Candidate, Criteria, Outcome},
            reach::Reporter,
        },
        support::{at, name},
    },
    SERVICE,
};

/// Length of a step of virtual time.
const STEP_MS: u64 = 20;

/// Requests per second at each host.
const RATE: f64 = 35.0;

/// Time of a request at an instance.
const WORK_MS: u64 = 700;

/// Start and end of the cut.
const CUT_FROM_MS: u64 = 1000;
const CUT_UNTIL_MS: u64 = 11_000;

/// Time after the start of the cut from which on requests are counted; the bound `stable` of the users'
/// deployments.
const STABLE_MS: u64 = 3000;

/// Time after which a host knows that it is cut, at most.
const DETECTION_MS: u64 = 2000;

/// Time after the end of the cut after which a host knows it, at most.
const RETURN_MS: u64 = 900;

/// Longest time until others read a report in the store.
const WATCH_MS: u64 = 1500;

/// Helpers that are asked for one request.
const MAX_ASKED: usize = 3;

/// Requests that a host carries at the same time.
const MAX_CARRIED: u32 = 256;

const REGIONS: usize = 3;
const DOMAINS: usize = 6;

/// Which hosts are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cut {
    One,
    Quarter,
    Third,
    Domain,
    Region,
    AllButOne,
    All,
}

impl Cut {
    fn contains(self, host: usize) -> bool {
        match self {
            Self::One => host == 1,
            Self::Quarter => host % 4 == 1,
            Self::Third => host * 7 % 9 < 3,
            Self::Domain => host % DOMAINS == 1,
            Self::Region => host % REGIONS == 1,
            Self::AllButOne => host != 1,
            Self::All => true,
        }
    }
}

/// What happened to the requests that came from [`STABLE_MS`] after the start of the cut until its end.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    cut_sent: usize,
    cut_served: usize,
    other_sent: usize,
    other_served: usize,
    asked: usize,
    /// Most requests that a host carried at the same time.
    pub(super) most_carried: u32,
    /// Mean of that over the hosts that carried any.
    pub(super) mean_carried: f64,
    pub(super) slowest_refusal: Duration,
}

impl Counts {
    pub(super) fn cut_ratio(&self) -> f64 {
        self.cut_served as f64 / self.cut_sent.max(1) as f64
    }

    pub(super) fn other_ratio(&self) -> f64 {
        self.other_served as f64 / self.other_sent.max(1) as f64
    }

    pub(super) fn asked_per_request(&self) -> f64 {
        self.asked as f64 / self.cut_sent.max(1) as f64
    }
}

struct Host {
    locality: Locality,
    book: Book,
    reporter: Reporter,
    /// When the host knows that it is cut, and that the cut has ended.
    believes_from_ms: u64,
    believes_until_ms: u64,
    carried: u32,
    most_carried: u32,
    /// Reports that others read from this time on.
    reports: Vec<(u64, bool)>,
}

/// Request of a cut host that runs at a helper.
struct Run {
    from: usize,
    helper: usize,
    ends_ms: u64,
}

pub(super) struct World {
    random: StdRng,
    cut: Cut,
    hosts: Vec<Host>,
    runs: Vec<Run>,
    counts: Counts,
    last_id: u64,
}

impl World {
    pub(super) fn new(hosts: usize, cut: Cut, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let host = |index: usize| {
            let mut delay = |most: u64| random.random_range(most / 3..most);
            Host {
                locality: Locality {
                    host: name(&format!("host-{index}")),
                    region: name(&format!("region-{}", index % REGIONS)),
                    domain: name(&format!("domain-{}", index % DOMAINS)),
                    domain_regions: std::collections::HashMap::new(),
                },
                book: Book::default(),
                reporter: Reporter::default(),
                believes_from_ms: CUT_FROM_MS + delay(DETECTION_MS),
                believes_until_ms: CUT_UNTIL_MS + delay(RETURN_MS),
                carried: 0,
                most_carried: 0,
                reports: Vec::new(),
            }
        };
        let hosts = (0..hosts).map(host).collect();
        let (runs, counts) = (Vec::new(), Counts::default());
        Self { random, cut, hosts, runs, counts, last_id: 0 }
    }

    pub(super) fn run(mut self) -> Counts {
        for now_ms in (0..CUT_UNTIL_MS).step_by(STEP_MS as usize) {
            self.end_runs(now_ms);
            (0..self.hosts.len()).for_each(|host| self.report(now_ms, host));
            for host in 0..self.hosts.len() {
                if self.random.random_bool(RATE * STEP_MS as f64 / 1000.0) {
                    self.request(now_ms, host);
                }
            }
        }
        let cut = self.cut;
        let helpers = self.hosts.iter().enumerate().filter(|(host, _)| !cut.contains(*host));
        let carried: Vec<u32> =
            helpers.map(|(_, host)| host.most_carried).filter(|carried| *carried > 0).collect();
        self.counts.most_carried = carried.iter().copied().max().unwrap_or_default();
        let total: u32 = carried.iter().sum();
        self.counts.mean_carried = f64::from(total) / carried.len().max(1) as f64;
        self.counts
    }

    fn is_cut(&self, now_ms: u64, host: usize) -> bool {
        self.cut.contains(host) && (CUT_FROM_MS..CUT_UNTIL_MS).contains(&now_ms)
    }

    fn believes(&self, now_ms: u64, host: usize) -> bool {
        let Host { believes_from_ms, believes_until_ms, .. } = self.hosts[host];
        self.cut.contains(host) && (believes_from_ms..believes_until_ms).contains(&now_ms)
    }

    fn report(&mut self, now_ms: u64, host: usize) {
        let is_lost = self.believes(now_ms, host);
        let count = self.hosts.len();
        let draw = self.random.random_range(0.0..1.0);
        let services = [(SERVICE.clone(), is_lost)].into_iter();
        let report = self.hosts[host].reporter.update(at(now_ms), services, count, draw);
        if let Some(report) = report {
            let read_ms = now_ms + self.random.random_range(0..WATCH_MS);
            self.hosts[host].reports.push((read_ms, report.is_cut_off));
        }
    }

    fn request(&mut self, now_ms: u64, host: usize) {
        let is_counted = now_ms >= CUT_FROM_MS + STABLE_MS;
        let is_served = if self.believes(now_ms, host) {
            self.pass_on(now_ms, host, is_counted)
        } else {
            !self.is_cut(now_ms, host)
        };
        if is_counted && self.cut.contains(host) {
            self.counts.cut_sent += 1;
            self.counts.cut_served += usize::from(is_served);
        } else if is_counted {
            self.counts.other_sent += 1;
            self.counts.other_served += usize::from(is_served);
        }
    }

    /// Asks helpers, one after the other. Returns whether one runs the request.
    fn pass_on(&mut self, now_ms: u64, host: usize, is_counted: bool) -> bool {
        self.last_id += 1;
        let id = self.last_id.to_string();
        let mut asked: Vec<Arc<str>> = Vec::new();
        let mut elapsed_ms = 0;
        while asked.len() < MAX_ASKED {
            let Some(helper) = self.choose(now_ms, host, &id, &asked) else {
                break;
            };
            let helper_name = self.hosts[helper].locality.host.clone();
            asked.push(helper_name.clone());
            self.counts.asked += usize::from(is_counted);
            self.hosts[host].book.start(&helper_name);
            let outcome = if self.is_cut(now_ms, helper) {
                // One that does not know yet that it is cut tries an instance.
                elapsed_ms += if self.believes(now_ms, helper) { 40 } else { 640 };
                Outcome::Unreached
            } else if self.hosts[helper].carried >= MAX_CARRIED {
                elapsed_ms += 40;
                Outcome::Busy
            } else {
                let carrier = &mut self.hosts[helper];
                carrier.carried += 1;
                carrier.most_carried = carrier.most_carried.max(carrier.carried);
                self.runs.push(Run { from: host, helper, ends_ms: now_ms + WORK_MS });
                return true;
            };
            let domain = self.hosts[helper].locality.domain.clone();
            self.hosts[host].book.end(at(now_ms), &helper_name, &domain, &SERVICE, outcome);
        }
        if is_counted {
            let slowest = &mut self.counts.slowest_refusal;
            *slowest = (*slowest).max(Duration::from_millis(elapsed_ms));
        }
        false
    }

    fn choose(&self, now_ms: u64, host: usize, id: &str, asked: &[Arc<str>]) -> Option<usize> {
        let lost: BTreeSet<usize> = (0..self.hosts.len())
            .filter(|other| {
                let read = self.hosts[*other].reports.iter().rev();
                read.into_iter().find(|(at, _)| *at <= now_ms).is_some_and(|(_, is_lost)| *is_lost)
            })
            .collect();
        let candidates = self.hosts.iter().enumerate().map(|(index, other)| Candidate {
            name: &other.locality.host,
            region: &other.locality.region,
            domain: &other.locality.domain,
            is_lost: lost.contains(&index),
        });
        let criteria = Criteria {
            id,
            service: &SERVICE,
            route_regions: &[],
            workspace_regions: &[],
            excluded: asked,
        };
        let Host { locality, book, .. } = &self.hosts[host];
        let chosen = book.choose(at(now_ms), locality, candidates, &criteria)?;
        self.hosts.iter().position(|other| other.locality.host == chosen)
    }

    fn end_runs(&mut self, now_ms: u64) {
        let due: Vec<Run> = self.runs.extract_if(.., |run| run.ends_ms <= now_ms).collect();
        for run in due {
            self.hosts[run.helper].carried -= 1;
            let Locality { host, domain, .. } = self.hosts[run.helper].locality.clone();
            let book = &mut self.hosts[run.from].book;
            book.end(at(now_ms), &host, &domain, &SERVICE, Outcome::Answered);
        }
    }
}

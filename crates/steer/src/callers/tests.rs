//! Tests of requests that are sent or passed on while something changes.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, StatusCode, Version, header};
use marjorampick_core::steering::{
    history::Era,
    instance::Endpoint,
    plan::{Destination, Idempotency, Limits, Plan, Route},
};
use tokio::{
    io::AsyncReadExt as _,
    net::{TcpListener, TcpStream},
    task::LocalSet,
};

use super::{
    body,
    carry::{self, Carried},
    forward,
    refusal::Reason,
    routing::{self, Call},
};
use crate::{
    clock,
    codec::{Codec, Headers, Record, Subject},
    events::Log,
    intake::presence::{Presence, Shared},
    settings,
    state::{Host, Registration, State},
    store::{self, Fault},
};

const SETTINGS: &str = r#"
[host]
name = "entry-1"
region = "north"
failure_domain = "north-a"
[listen]
callers = "127.0.0.1:7001"
lookup = "127.0.0.1:7002"
readiness = "127.0.0.1:7003"
peers = "127.0.0.1:7004"
metrics = "127.0.0.1:7005"
[store]
address = "127.0.0.1:7006"
configuration_time = "3s"
drain_time = "3s"
[stop]
grace = "4s"
[lookup]
longest_lifetime = "5s"
[[failure_domain]]
name = "north-a"
region = "north"
[retries]
window = "10s"
[rates]
window = "5s"
"#;

fn codec() -> Codec {
    Codec {
        headers: Headers {
            request_id: HeaderName::from_static("request-id"),
            time_left: HeaderName::from_static("time-left"),
            object_cookie: "object",
            api_key: HeaderName::from_static("key"),
            workspace: HeaderName::from_static("workspace"),
            expected_instance: HeaderName::from_static("expected"),
            response_stamp: HeaderName::from_static("stamp"),
            not_run: HeaderName::from_static("not-run"),
            load: HeaderName::from_static("load"),
            limit: HeaderName::from_static("limit"),
            leaving: HeaderName::from_static("leaving"),
            pause: HeaderName::from_static("pause"),
        },
        store: store::Codec {
            encode: |_| Request::default(),
            decode: |_, _: StatusCode, _| Err(Fault::Compacted),
            decode_era: |_: &HeaderMap| Era::default(),
        },
        key_prefixes: Vec::new(),
        decode_item: |_| Ok(Record::Other),
        subject_key: |_| String::new(),
        parse_key: |_| Subject::Other,
        parse_load: |_| None,
        parse_limit: |_| None,
        parse_leaving: |_| None,
        parse_pause: |_| None,
        lookup_path: "/",
        parse_lookup: |_| None,
        encode_addresses: |_, _| Vec::new(),
        ready_path: "/",
    }
}

fn state() -> Rc<State> {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), SETTINGS).unwrap();
    let settings = settings::read(file.path()).unwrap_or_else(|faults| panic!("{faults}"));
    State::new(settings, codec(), Log::start("entry-1".into(), 0).unwrap()).0
}

/// A configuration with one route, whose homes are these regions.
fn plan(version: u64, homes: &[&str]) -> Option<Rc<Plan>> {
    let route = Route {
        name: "route".into(),
        host: "shop.example".into(),
        prefix: "/".into(),
        idempotency: Idempotency::AtMostOnce,
        timeout: None,
        target_latency: None,
        priority: 1,
        destinations: vec![Destination { service: "service".into(), weight: 1.0 }],
        max_attempts: 2,
        is_public: true,
        is_sticky: false,
        has_large_answers: false,
        home_regions: homes.iter().map(|home| (*home).into()).collect(),
    };
    let limits = Limits {
        max_header_bytes: 8192,
        max_body_bytes: 8192,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let (services, workspaces, keys) = (HashMap::new(), HashMap::new(), HashMap::new());
    Some(Rc::new(Plan::new(version, vec![route], services, workspaces, keys, limits)))
}

/// A host with a configuration whose only route has its home in the region of the other host, at `peers`.
fn state_with_helper(peers: SocketAddr) -> Rc<State> {
    let state = state();
    *state.plan.borrow_mut() = plan(1, &["north"]);
    let registration = Registration {
        callers: peers,
        peers,
        region: "north".into(),
        failure_domain: "north-a".into(),
        link_mbps: None,
        reach: Default::default(),
    };
    let name: Arc<str> = "entry-2".into();
    state.hosts.borrow_mut().insert(name, Host { registration, expires_at: None });
    state
}

fn call(state: &State) -> Call {
    let request = Request::post("/").header(header::HOST, "shop.example").body(()).unwrap();
    let (parts, ()) = request.into_parts();
    routing::resolve(state, parts, clock::now(), None)
        .unwrap_or_else(|refusal| panic!("{refusal:?}"))
}

/// Bytes that the other side of the next connection gets.
async fn receive(listener: &TcpListener) -> usize {
    let (mut stream, _) = listener.accept().await.unwrap();
    stream.read(&mut [0; 1024]).await.unwrap()
}

/// Passes a request on while `meanwhile` runs, as soon as the connection to the helper is being opened. Returns
/// the number of bytes that the helper gets, and what became of the request.
async fn carry(caller: Presence, meanwhile: impl FnOnce(&State)) -> (usize, Carried) {
    let helper = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let state = state_with_helper(helper.local_addr().unwrap());
    let (call, body) = (call(&state), Bytes::from_static(b"body"));
    let (sink, _started) = body::sink(Version::HTTP_11, caller);
    let meanwhile = async { meanwhile(&state) };
    let carrying = carry::run(&state, &call, &body, 0, &sink);
    let (carried, (), received) = tokio::join!(biased; carrying, meanwhile, receive(&helper));
    (received, carried)
}

/// A caller that is connected, and what the host knows of it.
async fn connect() -> (TcpStream, Shared) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let connecting = TcpStream::connect(listener.local_addr().unwrap());
    let (caller, accepted) = tokio::join!(connecting, listener.accept());
    (caller.unwrap(), Shared::new(accepted.unwrap().0))
}

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// A host passed a version that it had only heard of on to its helpers, which refused what it would have run itself.
#[test]
fn a_version_that_was_only_heard_is_demanded_for_requests_with_homes() {
    block_on(async {
        let state = state();
        let before = clock::now().saturating_sub(state.settings.store.propagation);
        state.lag.borrow_mut().reach(before, 1);
        state.lag.borrow_mut().hear(before, &"entry-2".into(), 2, 1);
        for (homes, demanded) in [(&["north"][..], 2), (&[], 1)] {
            *state.plan.borrow_mut() = plan(1, homes);
            assert_eq!(carry::demanded_version(&state, &call(&state)), demanded, "{homes:?}");
        }
    });
}

/// The homes were looked at before the connection to a helper was opened, and its region got the body after
/// they had moved (HOME).
#[test]
fn nothing_is_sent_to_a_helper_whose_region_stopped_being_a_home() {
    block_on(async {
        let moving = |state: &State| *state.plan.borrow_mut() = plan(2, &["south"]);
        let (received, carried) = carry(Presence::default(), moving).await;
        assert_eq!(received, 0, "bytes that the helper got");
        assert!(matches!(carried, Carried::NotRun { refusal: None }));
    });
}

/// A request was passed on although its caller had closed its connection meanwhile (GONE).
#[test]
fn nothing_is_sent_to_a_helper_for_a_caller_that_has_left() {
    block_on(async {
        let (caller, stream) = connect().await;
        let (received, carried) = carry(stream.presence(), |_| drop(caller)).await;
        assert_eq!(received, 0, "bytes that the helper got");
        let Carried::NotRun { refusal: Some(refusal) } = carried else {
            panic!("the request was passed on");
        };
        assert_eq!(refusal.reason, Reason::CallerLeft);
    });
}

/// The same of an instance, which must not be tried again either.
#[test]
fn nothing_is_sent_to_an_instance_for_a_caller_that_has_left() {
    block_on(async {
        let instance = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let state = state();
        *state.plan.borrow_mut() = plan(1, &["north"]);
        let endpoint = Endpoint {
            id: "instance".into(),
            service: "service".into(),
            address: instance.local_addr().unwrap(),
            domain: "north-a".into(),
            slots: 1,
            incarnation: 1,
            is_draining: false,
            warmup_left: Duration::ZERO,
        };
        state.fleet.borrow_mut().register(clock::now(), endpoint);
        let (call, body) = (call(&state), Bytes::from_static(b"body"));
        let (caller, stream) = connect().await;
        let (sink, _started) = body::sink(Version::HTTP_11, stream.presence());
        let leaving = async { drop(caller) };
        let forwarding = forward::forward(&state, &call, &body, &sink);
        let (outcome, (), received) = tokio::join!(biased; forwarding, leaving, receive(&instance));
        assert_eq!(received, 0, "bytes that the instance got");
        let refusal = outcome.result.err().expect("a refusal");
        assert_eq!((refusal.reason, outcome.attempts), (Reason::CallerLeft, 0));
    });
}

//! Stand-in for the platform's list of hosts, whose changes become visible after a delay.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, StatusCode};
use marjorampick_link::hosts::List;
use tokio::net::TcpListener;

use crate::http_server::{self, Answer, problem};

/// The visible list of hosts, and newer versions that are not visible yet.
pub struct Hosts {
    lag: Duration,
    /// Versions with the time at which each becomes visible, oldest first.
    versions: Mutex<VecDeque<(Instant, List)>>,
}

impl Hosts {
    /// Creates a list whose changes become visible after `lag`. `list` is visible at once.
    pub fn new(list: List, lag: Duration) -> Arc<Self> {
        let visible_at = Instant::now();
        Arc::new(Self { lag, versions: Mutex::new(VecDeque::from([(visible_at, list)])) })
    }

    /// Returns the visible version.
    pub fn visible(&self) -> List {
        let Ok(mut versions) = self.versions.lock() else {
            return List::default();
        };
        let now = Instant::now();
        while versions.get(1).is_some_and(|(visible_at, _)| *visible_at <= now) {
            versions.pop_front();
        }
        let current = versions.front();
        current.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Replaces the list; the change becomes visible after the lag.
    pub fn replace(&self, list: List) {
        if let Ok(mut versions) = self.versions.lock() {
            versions.push_back((Instant::now() + self.lag, list));
        }
    }

    /// Serves `GET /hosts` and `PUT /hosts` until the future is dropped.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        http_server::serve(listener, move |method, path, body| self.handle(method, path, body))
            .await;
    }

    fn handle(&self, method: &Method, path: &str, body: &Bytes) -> Answer {
        match (method, path) {
            (&Method::GET, "/hosts") => match serde_json::to_string(&self.visible()) {
                Ok(text) => (StatusCode::OK, text),
                Err(error) => problem(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
            },
            (&Method::PUT, "/hosts") => match serde_json::from_slice(body) {
                Ok(list) => {
                    self.replace(list);
                    (StatusCode::OK, "{}".to_owned())
                }
                Err(error) => problem(StatusCode::BAD_REQUEST, &error.to_string()),
            },
            _ => problem(StatusCode::NOT_FOUND, "known: GET and PUT /hosts"),
        }
    }
}

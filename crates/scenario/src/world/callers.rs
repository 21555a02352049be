//! Simulated callers: requests arrive, are admitted, or wait for a loan of tokens.

use std::{sync::Arc, time::Duration};

use marjorampick_core::{
    budget::Budget,
    constants::{BORROW_ATTEMPTS, BORROW_TIMEOUT},
    document::Digest,
    host::event::Event,
};
use rand::RngExt as _;

use super::{Request, SERVICE, Task, World};
use crate::script::{self, Hosts};

impl World {
    /// Schedules the next arrival of a load as a Poisson process, and admits the present request or
    /// lets it wait for a loan. A host that does not run or is paused receives no requests.
    pub(super) fn handle_arrival(&mut self, load_index: usize) {
        let load = self.script.loads[load_index].clone();
        if self.now >= load.to {
            return;
        }
        let gap = -(1.0 - self.random.random::<f64>()).ln() / load.rate;
        self.schedule(self.now + Duration::from_secs_f64(gap), Task::RequestArrival(load_index));
        let index = self.choose_host(&load);
        let node = &self.nodes[index];
        if node.host.is_none() || node.paused_until > self.now {
            return;
        }
        if let Some(traffic) = self.traffic.get_mut(&load.workspace) {
            traffic.offered.push(self.now);
        }
        let request = Request {
            workspace: load.workspace,
            arrived_at: self.now,
            borrow_attempts_left: BORROW_ATTEMPTS,
        };
        if !self.try_admit(index, &request) {
            self.wait_for_loan(index, request);
        }
    }

    fn choose_host(&mut self, load: &script::Load) -> usize {
        match &load.hosts {
            Hosts::All => self.random.random_range(0..self.nodes.len()),
            Hosts::Listed(hosts) => hosts[self.random.random_range(0..hosts.len())] - 1,
            Hosts::Rotating(period) => {
                let turn = (self.now.as_secs_f64() / period.as_secs_f64()) as usize;
                turn % self.nodes.len()
            }
        }
    }

    /// Admits a request if the host is current, knows the key and has a token.
    fn try_admit(&mut self, index: usize, request: &Request) -> bool {
        let now = self.host_clock(index);
        let Some(host) = &self.nodes[index].host else {
            return false;
        };
        let digest = Digest::of_key(request.workspace.as_bytes());
        let document = host.documents().get(SERVICE);
        let is_key_valid =
            document.is_some_and(|known| known.document.workspace_by_digest(&digest).is_some());
        let budget = workspace_budget(&request.workspace);
        let account = host.ledger().account(&budget);
        let is_token_taken = account.is_some_and(|account| {
            // A retry is not counted as demand a second time.
            let is_first_attempt = request.borrow_attempts_left == BORROW_ATTEMPTS;
            let result =
                if is_first_attempt { account.take(now, 1) } else { account.retry_take(now, 1) };
            result.is_ok()
        });
        let admitted = is_key_valid && host.is_current(now) && is_token_taken;
        if admitted && let Some(traffic) = self.traffic.get_mut(&request.workspace) {
            traffic.admitted.push(self.now);
        }
        admitted
    }

    /// Asks for a loan and waits for at most [`BORROW_TIMEOUT`], as the request path of an entry
    /// host does.
    fn wait_for_loan(&mut self, index: usize, request: Request) {
        let budget = workspace_budget(&request.workspace);
        let timeout = Task::BorrowTimeout(index, budget.clone(), request.arrived_at);
        self.schedule(self.now + BORROW_TIMEOUT, timeout);
        self.borrow_tokens(index, &budget, vec![request]);
    }

    /// Retries the requests that wait for tokens of `budget`. A request that is not admitted
    /// borrows again, or is dropped after its last attempt.
    pub(super) fn retry_borrowers(&mut self, index: usize, budget: &Budget) {
        let mut borrowers = self.nodes[index].borrowers.remove(budget).unwrap_or_default();
        borrowers.retain(|request| !self.try_admit(index, request));
        borrowers.retain(|request| request.borrow_attempts_left > 0);
        self.borrow_tokens(index, budget, borrowers);
    }

    fn borrow_tokens(&mut self, index: usize, budget: &Budget, requests: Vec<Request>) {
        let incarnation = self.nodes[index].sender.incarnation;
        for mut request in requests {
            request.borrow_attempts_left -= 1;
            let borrowers = &mut self.nodes[index].borrowers;
            borrowers.entry(budget.clone()).or_default().push(request);
            let event = Event::TokensNeeded { budget: budget.clone(), wanted: 1 };
            self.handle_event(index, incarnation, event);
        }
    }
}

fn workspace_budget(workspace: &Arc<str>) -> Budget {
    Budget::Workspace { service: Arc::from(SERVICE), workspace: workspace.clone() }
}

//! Callers: requests arrive, are admitted, or wait for a loan.

use std::{sync::Arc, time::Duration};

use marjorampick_core::{
    budget::Budget,
    constants::{BORROW_ATTEMPTS, BORROW_TIMEOUT},
    document::Digest,
    host::event::Event,
};
use rand::RngExt as _;

use super::{Occurrence, Request, SERVICE, World};
use crate::script::{self, Hosts};

impl World {
    pub(super) fn arrival(&mut self, load: usize) {
        let load_spec = self.script.loads[load].clone();
        if self.now >= load_spec.to {
            return;
        }
        let gap = -(1.0 - self.random.random::<f64>()).ln() / load_spec.rate;
        self.schedule(self.now + Duration::from_secs_f64(gap), Occurrence::Arrival(load));
        let index = self.choose(&load_spec);
        let slot = &self.slots[index];
        if slot.host.is_none() || slot.paused_until > self.now {
            return;
        }
        if let Some(traffic) = self.traffic.get_mut(&load_spec.workspace) {
            traffic.offered.push(self.now);
        }
        let request =
            Request { workspace: load_spec.workspace, arrived: self.now, rounds: BORROW_ATTEMPTS };
        if !self.admit(index, &request) {
            self.wait_for_loan(index, request);
        }
    }

    fn choose(&mut self, load: &script::Load) -> usize {
        match &load.hosts {
            Hosts::All => self.random.random_range(0..self.slots.len()),
            Hosts::Listed(hosts) => hosts[self.random.random_range(0..hosts.len())] - 1,
            Hosts::Rotating(each) => {
                let turn = (self.now.as_secs_f64() / each.as_secs_f64()) as usize;
                turn % self.slots.len()
            }
        }
    }

    /// Admits a request if the host is current, knows the key and has a token.
    fn admit(&mut self, index: usize, request: &Request) -> bool {
        let now = self.clock(index);
        let Some(host) = &self.slots[index].host else {
            return false;
        };
        let digest = Digest::of_key(request.workspace.as_bytes());
        let known = host.documents().get(SERVICE);
        let allowed =
            known.is_some_and(|known| known.document.workspace_by_digest(&digest).is_some());
        let budget = workspace_budget(&request.workspace);
        let account = host.ledger().account(&budget);
        let taken = account.is_some_and(|account| {
            // A request that asks again is not new demand.
            let first = request.rounds == BORROW_ATTEMPTS;
            let take = if first { account.take(now, 1) } else { account.retry_take(now, 1) };
            take.is_ok()
        });
        let admitted = allowed && host.is_current(now) && taken;
        if admitted && let Some(traffic) = self.traffic.get_mut(&request.workspace) {
            traffic.admitted.push(self.now);
        }
        admitted
    }

    /// Asks for a loan and waits, as the request path of an entry host does.
    fn wait_for_loan(&mut self, index: usize, request: Request) {
        let budget = workspace_budget(&request.workspace);
        let give_up = Occurrence::GiveUp(index, budget.clone(), request.arrived);
        self.schedule(self.now + BORROW_TIMEOUT, give_up);
        self.ask(index, &budget, vec![request]);
    }

    pub(super) fn retry(&mut self, index: usize, budget: &Budget) {
        let mut waiting = self.slots[index].waiting.remove(budget).unwrap_or_default();
        waiting.retain(|request| !self.admit(index, request));
        waiting.retain(|request| request.rounds > 0);
        self.ask(index, budget, waiting);
    }

    fn ask(&mut self, index: usize, budget: &Budget, requests: Vec<Request>) {
        let incarnation = self.slots[index].sender.incarnation;
        for mut request in requests {
            request.rounds -= 1;
            let waiting = &mut self.slots[index].waiting;
            waiting.entry(budget.clone()).or_default().push(request);
            let short = Event::TokensNeeded { budget: budget.clone(), wanted: 1 };
            self.event(index, incarnation, short);
        }
    }
}

fn workspace_budget(workspace: &Arc<str>) -> Budget {
    Budget::Workspace { service: Arc::from(SERVICE), workspace: workspace.clone() }
}

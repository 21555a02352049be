//! Applies the events of the script: failures and edits.

use std::sync::Arc;

use marjorampick_core::{
    document::Digest,
    host::event::{Edit, EditOutcome, Event, ListedHost, ListedState},
};
use rand::RngExt as _;

use super::{EditRecord, Node, SERVICE, World};
use crate::{
    admission::Limit,
    script::{self, Hosts},
};

impl World {
    pub(super) fn apply_script_event(&mut self, index: usize) {
        use script::Event as ScriptEvent;
        let event = self.script.events[index].event.clone();
        let now = self.now;
        match event {
            ScriptEvent::Kill(hosts) => self.change_nodes(&hosts, |node| node.host = None),
            ScriptEvent::Start(hosts) => {
                self.host_indexes(&hosts).into_iter().for_each(|i| self.start_host(i));
            }
            ScriptEvent::Pause(hosts, time) => {
                self.change_nodes(&hosts, |node| node.paused_until = now + time);
            }
            ScriptEvent::Cut(hosts, time) => {
                self.change_nodes(&hosts, |node| node.cut_until = now + time);
            }
            ScriptEvent::CutStore(hosts, time) => {
                self.change_nodes(&hosts, |node| node.store_cut_until = now + time);
            }
            ScriptEvent::Stop(hosts) => {
                for index in self.host_indexes(&hosts) {
                    let incarnation = self.nodes[index].sender.incarnation;
                    self.handle_event(index, incarnation, Event::Drain);
                    self.handle_event(index, incarnation, Event::Leave);
                }
            }
            ScriptEvent::StoreDown(time) => self.store_down_until = now + time,
            ScriptEvent::StoreSlow(delay, time) => self.store_slowdown = (delay, now + time),
            ScriptEvent::StoreLosesAnswers(time) => self.answers_lost_until = now + time,
            ScriptEvent::Loss(percent, time) => self.message_loss = (percent, now + time),
            ScriptEvent::ListGone(hosts) => self.list_as_gone(&hosts),
            ScriptEvent::SetRate { workspace, rate, burst, via } => {
                let limit = Limit { accepted_at: now, rate, burst: burst as f64 };
                let changed = self.workspaces.iter_mut().find(|known| known.name == workspace);
                if let Some(changed) = changed {
                    (changed.rate, changed.burst) = (rate, burst);
                }
                self.submit_edit(via - 1, Some((workspace, limit)));
            }
            ScriptEvent::Withdraw { workspace, via } => {
                self.withdrawn.push(workspace);
                self.submit_edit(via - 1, None);
            }
            ScriptEvent::Remove { workspace, via } => {
                self.workspaces.retain(|known| known.name != workspace);
                self.submit_edit(via - 1, None);
            }
        }
    }

    fn list_as_gone(&mut self, hosts: &Hosts) {
        self.listed_gone.extend(self.host_indexes(hosts));
        let listed: Vec<ListedHost> =
            (0..self.nodes.len()).map(|index| self.listed_host(index)).collect();
        for index in 0..self.nodes.len() {
            let incarnation = self.nodes[index].sender.incarnation;
            self.handle_event(index, incarnation, Event::HostsListed(listed.clone()));
        }
    }

    fn listed_host(&self, index: usize) -> ListedHost {
        let member = self.script.deployment.member(index, 0);
        let is_gone = self.listed_gone.contains(&index);
        ListedHost {
            name: member.host,
            service: None,
            region: member.region,
            domain: member.domain,
            address: member.callers,
            state: if is_gone { ListedState::Gone } else { ListedState::Live },
        }
    }

    fn submit_edit(&mut self, via: usize, new_limit: Option<(Arc<str>, Limit)>) {
        let Some(host) = &self.nodes[via].host else {
            return;
        };
        let base_revision = host.documents().get(SERVICE).map_or(0, |known| known.revision);
        let ticket = self.edits.len() as u64;
        self.edits.push(EditRecord { submitted_at: self.now, outcome: None, new_limit });
        let edit = Edit {
            service: Arc::from(SERVICE),
            base_revision,
            text: self.document(),
            id: self.random.random(),
        };
        let incarnation = self.nodes[via].sender.incarnation;
        self.handle_event(via, incarnation, Event::Edit { ticket, edit });
    }

    pub(super) fn record_edit_outcome(&mut self, ticket: u64, outcome: EditOutcome) {
        let record = &mut self.edits[usize::try_from(ticket).unwrap_or_default()];
        if matches!(outcome, EditOutcome::Accepted { .. })
            && let Some((workspace, limit)) = record.new_limit.take()
            && let Some(traffic) = self.traffic.get_mut(&workspace)
        {
            traffic.limits.push(Limit { accepted_at: self.now, ..limit });
        }
        record.outcome = Some((self.now, outcome));
    }

    fn host_indexes(&self, hosts: &Hosts) -> Vec<usize> {
        match hosts {
            Hosts::Listed(hosts) => hosts.iter().map(|host| host - 1).collect(),
            _ => (0..self.nodes.len()).collect(),
        }
    }

    fn change_nodes(&mut self, hosts: &Hosts, change: impl Fn(&mut Node)) {
        for index in self.host_indexes(hosts) {
            change(&mut self.nodes[index]);
        }
    }

    /// Document of the service, with the workspaces as last edited. A workspace's key is its name.
    pub(super) fn document(&self) -> Arc<str> {
        let member = self.script.deployment.member(0, 0);
        let mut text = format!(
            "service = \"{SERVICE}\"\n[[route]]\npath = \"/\"\nclass = \"status\"\nidempotent = true\n\
             [[region]]\nname = \"{}\"\nweight = 1\nslots_per_backend = 9\n",
            member.region
        );
        for workspace in &self.workspaces {
            let keys = if self.withdrawn.contains(&workspace.name) {
                String::new()
            } else {
                format!("\"{}\"", Digest::of_key(workspace.name.as_bytes()).to_text())
            };
            text += &format!(
                "[[workspace]]\nname = \"{}\"\nrate_per_second = {}\nburst = {}\nkeys = [{keys}]\n",
                workspace.name, workspace.rate, workspace.burst
            );
        }
        Arc::from(text)
    }
}

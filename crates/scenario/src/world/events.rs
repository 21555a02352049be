//! Events of the script: failures and edits.

use std::sync::Arc;

use marjorampick_core::{
    document::Digest,
    host::event::{Edit, EditOutcome, Event, ListedHost, ListedState},
};
use rand::RngExt as _;

use super::{EditRecord, SERVICE, Slot, World};
use crate::{
    judge::Limit,
    script::{self, Hosts},
};

impl World {
    pub(super) fn script_event(&mut self, index: usize) {
        use script::Event as Scripted;
        let event = self.script.events[index].event.clone();
        let now = self.now;
        match event {
            Scripted::Kill(hosts) => self.each(&hosts, |slot| slot.host = None),
            Scripted::Start(hosts) => self.indexes(&hosts).into_iter().for_each(|i| self.start(i)),
            Scripted::Pause(hosts, time) => {
                self.each(&hosts, |slot| slot.paused_until = now + time);
            }
            Scripted::Cut(hosts, time) => self.each(&hosts, |slot| slot.cut_until = now + time),
            Scripted::CutStore(hosts, time) => {
                self.each(&hosts, |slot| slot.store_cut_until = now + time);
            }
            Scripted::Stop(hosts) => {
                for index in self.indexes(&hosts) {
                    let incarnation = self.slots[index].sender.incarnation;
                    self.event(index, incarnation, Event::Drain);
                    self.event(index, incarnation, Event::Leave);
                }
            }
            Scripted::StoreDown(time) => self.store_down_until = now + time,
            Scripted::StoreSlow(delay, time) => self.store_slow = (delay, now + time),
            Scripted::StoreLosesAnswers(time) => self.answers_lost_until = now + time,
            Scripted::Loss(percent, time) => self.loss = (percent, now + time),
            Scripted::ListGone(hosts) => self.list_gone(&hosts),
            Scripted::SetRate { workspace, rate, burst, via } => {
                let limit = Limit { accepted: now, rate, burst: burst as f64 };
                let known = self.limits.iter_mut().find(|known| known.name == workspace);
                if let Some(known) = known {
                    (known.rate, known.burst) = (rate, burst);
                }
                self.edit(via - 1, Some((workspace, limit)));
            }
            Scripted::Withdraw { workspace, via } => {
                self.withdrawn.push(workspace);
                self.edit(via - 1, None);
            }
            Scripted::Remove { workspace, via } => {
                self.limits.retain(|known| known.name != workspace);
                self.edit(via - 1, None);
            }
        }
    }

    fn list_gone(&mut self, hosts: &Hosts) {
        self.gone.extend(self.indexes(hosts));
        let listed: Vec<ListedHost> =
            (0..self.slots.len()).map(|index| self.listed(index)).collect();
        for index in 0..self.slots.len() {
            let incarnation = self.slots[index].sender.incarnation;
            self.event(index, incarnation, Event::HostsListed(listed.clone()));
        }
    }

    fn listed(&self, index: usize) -> ListedHost {
        let member = self.script.deployment.member(index, 0);
        let gone = self.gone.contains(&index);
        ListedHost {
            name: member.host,
            service: None,
            region: member.region,
            domain: member.domain,
            address: member.callers,
            state: if gone { ListedState::Gone } else { ListedState::Live },
        }
    }

    fn edit(&mut self, via: usize, limit: Option<(Arc<str>, Limit)>) {
        let Some(host) = &self.slots[via].host else {
            return;
        };
        let base = host.documents().get(SERVICE).map_or(0, |known| known.revision);
        let ticket = self.edits.len() as u64;
        self.edits.push(EditRecord { at: self.now, answer: None, limit });
        let edit = Edit {
            service: Arc::from(SERVICE),
            base_revision: base,
            text: self.document(),
            id: self.random.random(),
        };
        let incarnation = self.slots[via].sender.incarnation;
        self.event(via, incarnation, Event::Edit { ticket, edit });
    }

    pub(super) fn edited(&mut self, ticket: u64, edited: EditOutcome) {
        let record = &mut self.edits[usize::try_from(ticket).unwrap_or_default()];
        if matches!(edited, EditOutcome::Accepted { .. })
            && let Some((workspace, limit)) = record.limit.take()
            && let Some(traffic) = self.traffic.get_mut(&workspace)
        {
            traffic.limits.push(Limit { accepted: self.now, ..limit });
        }
        record.answer = Some((self.now, edited));
    }

    fn indexes(&self, hosts: &Hosts) -> Vec<usize> {
        match hosts {
            Hosts::Listed(hosts) => hosts.iter().map(|host| host - 1).collect(),
            _ => (0..self.slots.len()).collect(),
        }
    }

    fn each(&mut self, hosts: &Hosts, change: impl Fn(&mut Slot)) {
        for index in self.indexes(hosts) {
            change(&mut self.slots[index]);
        }
    }

    /// The document of the service with the limits as last edited.
    pub(super) fn document(&self) -> Arc<str> {
        let member = self.script.deployment.member(0, 0);
        let mut text = format!(
            "service = \"{SERVICE}\"\n[[route]]\npath = \"/\"\nclass = \"status\"\nidempotent = true\n\
             [[region]]\nname = \"{}\"\nweight = 1\nslots_per_backend = 9\n",
            member.region
        );
        for workspace in &self.limits {
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

//! Hosts and workspaces that a statement refers to. They are resolved after the whole file is
//! parsed, as they may be declared after their use.

use std::{sync::Arc, time::Duration};

use super::Statement;
use crate::script::{Check, Event, Hosts, Script};

/// Hosts, workspace and rotation period that one statement names.
#[derive(Default)]
pub(super) struct Reference {
    hosts: Vec<usize>,
    workspace: Option<Arc<str>>,
    rotation_period: Option<Duration>,
}

impl Reference {
    /// Message about the first invalid reference, if there is one.
    pub(super) fn find_fault(&self, script: &Script) -> Option<String> {
        let missing = |host: &&usize| !(1..=script.hosts).contains(*host);
        if let Some(host) = self.hosts.iter().find(missing) {
            return Some(format!("names host {host}, expected 1 to {}", script.hosts));
        }
        if self.rotation_period.is_some_and(|period| period.is_zero()) {
            return Some("expected a time above zero for each host".to_owned());
        }
        let workspace = self.workspace.as_ref()?;
        let is_known = script.workspaces.iter().any(|known| known.name == *workspace);
        (!is_known).then(|| format!("names the unknown workspace {workspace}"))
    }

    fn to_hosts(hosts: &Hosts) -> Self {
        let mut reference = Self::default();
        match hosts {
            Hosts::All => {}
            Hosts::Listed(hosts) => reference.hosts.clone_from(hosts),
            Hosts::Rotating(period) => reference.rotation_period = Some(*period),
        }
        reference
    }

    fn to_host(host: usize) -> Self {
        Self { hosts: vec![host], ..Self::default() }
    }

    fn to_workspace(workspace: &Arc<str>) -> Self {
        Self::default().with_workspace(workspace)
    }

    fn with_workspace(mut self, workspace: &Arc<str>) -> Self {
        self.workspace = Some(workspace.clone());
        self
    }
}

/// References of `statement`.
pub(super) fn from_statement(statement: &Statement) -> Reference {
    match statement {
        Statement::Load(load) => Reference::to_hosts(&load.hosts).with_workspace(&load.workspace),
        Statement::Event(_, event) => from_event(event),
        Statement::Expect(check) => from_check(check),
        _ => Reference::default(),
    }
}

fn from_event(event: &Event) -> Reference {
    match event {
        Event::Kill(hosts)
        | Event::Start(hosts)
        | Event::Pause(hosts, _)
        | Event::Cut(hosts, _)
        | Event::CutStore(hosts, _)
        | Event::Stop(hosts)
        | Event::ListGone(hosts) => Reference::to_hosts(hosts),
        Event::SetRate { workspace, via, .. }
        | Event::Remove { workspace, via }
        | Event::Withdraw { workspace, via } => Reference::to_host(*via).with_workspace(workspace),
        Event::StoreDown(_)
        | Event::StoreSlow(..)
        | Event::StoreLosesAnswers(_)
        | Event::Loss(..) => Reference::default(),
    }
}

fn from_check(check: &Check) -> Reference {
    match check {
        Check::Share { workspace: Some(workspace), .. } | Check::NoneAdmitted { workspace, .. } => {
            Reference::to_workspace(workspace)
        }
        Check::Current(hosts, _) | Check::NotCurrent(hosts, _) => Reference::to_hosts(hosts),
        Check::Members { host, .. } => Reference::to_host(*host),
        _ => Reference::default(),
    }
}

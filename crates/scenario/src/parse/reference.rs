//! Hosts and workspaces that a statement names; both may be declared further down in the file.

use std::{sync::Arc, time::Duration};

use super::Statement;
use crate::script::{Check, Event, Hosts, Script};

/// What one statement refers to.
#[derive(Default)]
pub(super) struct Reference {
    hosts: Vec<usize>,
    workspace: Option<Arc<str>>,
    rotation: Option<Duration>,
}

impl Reference {
    /// Why the statement does not fit the script, if it does not.
    pub(super) fn fault(&self, script: &Script) -> Option<String> {
        let missing = |host: &&usize| !(1..=script.hosts).contains(*host);
        if let Some(host) = self.hosts.iter().find(missing) {
            return Some(format!("names host {host}, expected 1 to {}", script.hosts));
        }
        if self.rotation.is_some_and(|each| each.is_zero()) {
            return Some("expected a time above zero for each host".to_owned());
        }
        let workspace = self.workspace.as_ref()?;
        let known = script.workspaces.iter().any(|one| one.name == *workspace);
        (!known).then(|| format!("names the unknown workspace {workspace}"))
    }

    fn hosts(hosts: &Hosts) -> Self {
        let mut reference = Self::default();
        match hosts {
            Hosts::All => {}
            Hosts::Listed(hosts) => reference.hosts.clone_from(hosts),
            Hosts::Rotating(each) => reference.rotation = Some(*each),
        }
        reference
    }

    fn host(host: usize) -> Self {
        Self { hosts: vec![host], ..Self::default() }
    }

    fn workspace(workspace: &Arc<str>) -> Self {
        Self::default().with(workspace)
    }

    fn with(mut self, workspace: &Arc<str>) -> Self {
        self.workspace = Some(workspace.clone());
        self
    }
}

/// What `statement` refers to.
pub(super) fn of(statement: &Statement) -> Reference {
    match statement {
        Statement::Load(load) => Reference::hosts(&load.hosts).with(&load.workspace),
        Statement::Event(_, event) => of_event(event),
        Statement::Expect(check) => of_check(check),
        _ => Reference::default(),
    }
}

fn of_event(event: &Event) -> Reference {
    match event {
        Event::Kill(hosts)
        | Event::Start(hosts)
        | Event::Pause(hosts, _)
        | Event::Cut(hosts, _)
        | Event::CutStore(hosts, _)
        | Event::Stop(hosts)
        | Event::ListGone(hosts) => Reference::hosts(hosts),
        Event::SetRate { workspace, via, .. }
        | Event::Remove { workspace, via }
        | Event::Withdraw { workspace, via } => Reference::host(*via).with(workspace),
        Event::StoreDown(_)
        | Event::StoreSlow(..)
        | Event::StoreLosesAnswers(_)
        | Event::Loss(..) => Reference::default(),
    }
}

fn of_check(check: &Check) -> Reference {
    match check {
        Check::Share { workspace: Some(workspace), .. } | Check::NoneAdmitted { workspace, .. } => {
            Reference::workspace(workspace)
        }
        Check::Current(hosts, _) | Check::NotCurrent(hosts, _) => Reference::hosts(hosts),
        Check::Members { host, .. } => Reference::host(*host),
        _ => Reference::default(),
    }
}

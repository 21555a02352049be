//! Limits that instances state, applied to the choice of an instance.

use std::{sync::Arc, time::Duration};

use super::{Choice, Fleet};
use crate::steering::{
    instance::Instance,
    limit::{Change, Member, Publication, Statement},
};

impl Fleet {
    /// Sets the hosts that share the limits of instances. Without this host among them, it sends
    /// nothing to limited instances. `is_cut_off` says whether this host is cut off from the store, so
    /// that the others may see other hosts.
    pub fn set_limit_members(&mut self, now: Duration, members: Vec<Member>, is_cut_off: bool) {
        if self.limit_group.members != members || self.limit_group.is_cut_off != is_cut_off {
            self.limit_group.members = members;
            self.limit_group.is_cut_off = is_cut_off;
            self.update_limits(now);
        }
    }

    /// Records what an answer to a request that was sent at `sent_at` says about the instance's limit.
    pub fn record_limit(
        &mut self,
        now: Duration,
        choice: &Choice,
        sent_at: Duration,
        statement: Statement,
    ) -> Option<Change> {
        self.limits.record_answer(now, &choice.id, choice.incarnation, sent_at, statement);
        self.refresh_limit(now, &choice.id)
    }

    /// Records what another host heard about an instance's limit.
    pub fn record_limit_message(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        incarnation: u64,
        statement: Statement,
    ) -> Option<Change> {
        self.limits.record_message(now, id, incarnation, statement);
        if let Some(registered) = self.incarnation(id) {
            self.limits.restart(id, registered);
        }
        self.refresh_limit(now, id)
    }

    /// The limit of an instance that this host should announce to the others now, in requests per
    /// second. Records that it does.
    pub fn take_limit_announcement(&mut self, now: Duration, id: &str) -> Option<f64> {
        self.limits.take_announcement(now, id)
    }

    /// Applies a record of the store about an instance's limit, which has this revision.
    pub fn apply_limit_record(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        incarnation: u64,
        statement: Statement,
        revision: u64,
    ) -> Option<Change> {
        self.limits.apply_record(now, id, incarnation, statement, revision);
        if let Some(registered) = self.incarnation(id) {
            self.limits.restart(id, registered);
        }
        self.refresh_limit(now, id)
    }

    /// Applies the removal of a record of the store about an instance's limit.
    pub fn remove_limit_record(&mut self, now: Duration, id: &Arc<str>) -> Option<Change> {
        self.limits.remove_record(now, id);
        self.refresh_limit(now, id)
    }

    /// Records that a restore of the store has lost a record about an instance's limit.
    pub fn lose_limit_record(&mut self, now: Duration, id: &Arc<str>) -> Option<Change> {
        self.limits.lose_record(now, id);
        self.refresh_limit(now, id)
    }

    /// Number of instances with a limit that applies.
    pub fn limited_count(&self) -> usize {
        self.limits.limited_count()
    }

    /// Ids of the instances with a record of their limit in the store.
    pub fn recorded_limits(&self) -> Vec<Arc<str>> {
        self.limits.recorded_ids().cloned().collect()
    }

    /// Applies what has changed with time: a record counts more than an answer after a while.
    pub fn update_limits(&mut self, now: Duration) -> Vec<Change> {
        let ids = self.limits.ids();
        ids.iter().filter_map(|id| self.refresh_limit(now, id)).collect()
    }

    /// Records of limits that this host should write to the store now.
    pub fn limit_publications(&mut self, now: Duration) -> Vec<Publication> {
        let (upstreams, services) = (&self.upstreams, &self.service_by_id);
        let incarnation = |id: &str| {
            let instances = &upstreams.get(services.get(id)?)?.instances;
            let instance = instances.iter().find(|instance| *instance.endpoint.id == *id)?;
            Some(instance.endpoint.incarnation)
        };
        self.limits.publications(now, &self.limit_group, incarnation)
    }

    /// Whether the instance has no limit, or one that allows a request of this host now.
    pub(super) fn is_within_limit(&self, now: Duration, instance: &Instance) -> bool {
        self.limits.allows(now, &instance.endpoint.id)
    }

    /// Whether the instance has a limit and should get any request of this host now.
    pub(super) fn is_limit_probe_due(&self, now: Duration, instance: &Instance) -> bool {
        self.limits.is_probe_due(now, &instance.endpoint.id)
    }

    /// Applies the current limit of an instance and this host's part of it.
    pub(super) fn refresh_limit(&mut self, now: Duration, id: &Arc<str>) -> Option<Change> {
        if !self.limits.contains(id) {
            return None;
        }
        let region = self.instance(id).and_then(|instance| instance.region.clone());
        let group = &self.limit_group;
        self.limits.refresh(now, id, |rate| group.host_rate(rate, id, region.as_ref()))
    }

    fn incarnation(&mut self, id: &str) -> Option<u64> {
        self.instance(id).map(|instance| instance.endpoint.incarnation)
    }
}

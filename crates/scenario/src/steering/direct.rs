//! Selections without a fleet, with which the fleet's choice is compared.

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration};

use marjorampick_core::{
    rendezvous,
    steering::{
        cache,
        cost::Prediction,
        fleet::{Choice, Rejection},
    },
};

use super::{
    noise::Selection,
    world::{CACHED_WORK_RATIO, REMOTE_LATENCY, World, instance_id},
};

/// Delay before a refused request is sent once more.
const RETRY_AFTER: Duration = Duration::from_millis(300);

impl World {
    /// Chooses an instance by the selection of this replay.
    pub(super) fn choose_directly(&mut self, id: usize) -> Result<Choice, Rejection> {
        let refusal = Rejection::NoCapacity { retry_after: RETRY_AFTER };
        let requests = &self.requests[id];
        let (host, tried) = (requests.host, requests.tried.clone());
        let mut open: Vec<usize> = (0..self.backends.len()).collect();
        open.retain(|index| !tried.contains(&instance_id(*index)));
        let index = match self.selection {
            Selection::Perfect => self.first_to_answer(id, &open).ok_or(refusal)?,
            Selection::TwoChoices => {
                let mut pick = || open[self.below(open.len() as u64) as usize];
                let two = [pick(), pick()];
                let at_instances = &self.hosts[host].at_instances;
                two.into_iter().min_by_key(|index| at_instances[*index]).ok_or(refusal)?
            }
            Selection::TwoHashed => {
                let object = self.requests[id].object.to_string();
                let key = rendezvous::Key::new([object.as_str()]);
                open.sort_by_cached_key(|index| Reverse(key.weight(&instance_id(*index))));
                let at_instances = &self.hosts[host].at_instances;
                let two = open.into_iter().take(2);
                two.min_by_key(|index| at_instances[*index]).ok_or(refusal)?
            }
            _ => {
                let start = self.below(open.len() as u64) as usize;
                open.rotate_left(start);
                let at_instances = &self.hosts[host].at_instances;
                open.into_iter().min_by_key(|index| at_instances[*index]).ok_or(refusal)?
            }
        };
        let request = &self.requests[id];
        Ok(Choice {
            body_bytes: 0,
            id: instance_id(index),
            incarnation: 1,
            address: "127.0.0.1:9000".parse().expect("an address"),
            region: None,
            route: Arc::from(self.pattern.kinds[request.kind].name),
            object_hash: Some(request.object),
            is_remote: self.backends[index].region != self.hosts[host].region,
            position: cache::Position::Known,
            is_cached: true,
            cost_seconds: 0.0,
            prediction: Prediction::default(),
            number: id as u64,
        })
    }

    /// The instance that will answer first. A request that would wait and be late is refused.
    fn first_to_answer(&self, id: usize, open: &[usize]) -> Option<usize> {
        let times = open.iter().map(|index| (self.expected_answer(id, *index), *index));
        let ((time, waits), index) = times.min()?;
        let target = self.pattern.kinds[self.requests[id].kind].target;
        (!waits || time <= target).then_some(index)
    }

    /// Time until the answer of this instance, and whether the request waits there.
    fn expected_answer(&self, id: usize, index: usize) -> (Duration, bool) {
        let backend = &self.backends[index];
        let slots = self.pattern.slots as usize;
        let mut ends: BinaryHeap<Reverse<Duration>> =
            backend.ends.iter().map(|end| Reverse(*end)).collect();
        let start = |ends: &mut BinaryHeap<Reverse<Duration>>| {
            if ends.len() < slots { self.now } else { ends.pop().map_or(self.now, |end| end.0) }
        };
        for waiting in &backend.waiting {
            let started_at = start(&mut ends);
            ends.push(Reverse(started_at + self.work(*waiting, index)));
        }
        let started_at = start(&mut ends);
        let is_remote = backend.region != self.hosts[self.requests[id].host].region;
        let latency = if is_remote { REMOTE_LATENCY } else { Duration::ZERO };
        let time = started_at - self.now + self.work(id, index) + latency;
        (time, started_at > self.now)
    }

    /// Time that the instance would work on the request now.
    fn work(&self, id: usize, index: usize) -> Duration {
        let request = &self.requests[id];
        let is_cached = self.backends[index].cache.contains(&request.object);
        let ratio = if is_cached { CACHED_WORK_RATIO } else { 1.0 };
        let work = self.pattern.kinds[request.kind].work;
        work.mul_f64(ratio * request.work_ratio * self.slowness(index))
    }
}

//! Reads of the store on a task of their own.
//!
//! A read lasts for seconds on a slow link, in which the host must go on learning from the others what the
//! store holds, and tell those that ask it to ask another host. The result is applied once the feed takes it,
//! to what the host knows by then. See docs/platform.md.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use tokio::sync::oneshot::{self, error::TryRecvError};

use super::{
    Feed, Progress,
    read::{Content, Reader, Target},
    relay::{Inbox, MAX_QUESTION_AGE, Question},
};
use crate::{
    clock,
    constants::{MIN_STORE_RETRY_DELAY, RELAY_WATCH_WAIT, WATCH_WAIT},
    store::Fault,
    tasks,
};

/// A read that is under way, or has just ended.
pub(super) struct Reading {
    target: Target,
    /// When the store was asked.
    asked_at: Duration,
    /// Questions of other hosts that it answers.
    questions: Vec<(SocketAddr, Question)>,
    /// Whether their senders were told to ask another host.
    are_declined: bool,
    /// Whether the store had answered a probe right before it.
    is_probed: bool,
    /// The task that reads ends when this is dropped.
    result: oneshot::Receiver<Result<Content, Fault>>,
}

impl Reading {
    /// The result, once there is one.
    fn take_result(&mut self) -> Option<Result<Content, Fault>> {
        match self.result.try_recv() {
            Ok(result) => Some(result),
            Err(TryRecvError::Empty) => None,
            Err(TryRecvError::Closed) => {
                Some(Err(Fault::Unknown("the read ended without a result".to_owned())))
            }
        }
    }
}

/// Starts a read. The inbox wakes the feed at its end.
fn spawn(
    reader: Reader,
    target: Target,
    inbox: Rc<Inbox>,
) -> oneshot::Receiver<Result<Content, Fault>> {
    let (mut sender, receiver) = oneshot::channel();
    tokio::task::spawn_local(async move {
        let state = reader.state.clone();
        let reading = async {
            let result = tokio::select! {
                result = reader.read(target) => result,
                () = sender.closed() => return,
            };
            // The feed may have given the read up.
            sender.send(result).ok();
        };
        tasks::contain_task(&state, "read", reading).await;
        inbox.wake();
    });
    receiver
}

impl Feed {
    /// Starts to read what is missing. Changes are read for the hosts that have asked for them, too.
    pub(super) fn start_read(&mut self) {
        let asked_at = clock::now();
        let is_complete = self.progress == Progress::Complete;
        let questions = if is_complete { self.inbox.take_questions() } else { Vec::new() };
        let wait = if questions.is_empty() { WATCH_WAIT } else { RELAY_WATCH_WAIT };
        let target = match self.progress {
            Progress::Unread => Target::Start,
            Progress::Incomplete => Target::Items,
            Progress::Complete => Target::Changes { after: self.revision, wait },
        };
        let reader = Reader {
            state: self.state.clone(),
            client: self.client.clone(),
            configuration_bytes: self.configuration_bytes,
        };
        self.schedule.record_read(asked_at);
        self.reading = Some(Reading {
            target,
            asked_at,
            questions,
            are_declined: false,
            is_probed: std::mem::take(&mut self.is_probed),
            result: spawn(reader, target, self.inbox.clone()),
        });
    }

    /// Applies the read that has ended, if any.
    pub(super) fn take_read(&mut self) {
        let Some(mut reading) = self.reading.take() else { return };
        let Some(result) = reading.take_result() else {
            self.reading = Some(reading);
            return;
        };
        self.schedule.record_read_end();
        let Reading { target, asked_at, questions, are_declined, is_probed, .. } = reading;
        match result.and_then(|content| self.apply_content(content)) {
            Ok(()) => {
                self.state.lag.borrow_mut().forget_before(asked_at);
                self.publish();
                // Nobody waits for a later answer.
                if clock::now() < asked_at + MAX_QUESTION_AGE {
                    self.answer(&questions);
                }
                self.retry_delay = MIN_STORE_RETRY_DELAY;
                self.schedule.record_response(clock::now());
            }
            Err(fault) => {
                if !are_declined {
                    self.decline(&questions);
                }
                if !self.is_filled(target, &fault) {
                    self.record_read_failure(target, &fault, is_probed);
                }
            }
        }
    }

    /// Gives up the read that is under way, as it can tell nothing of use any more.
    pub(super) fn abandon_read(&mut self) {
        let Some(reading) = self.reading.take() else { return };
        self.schedule.record_read_end();
        self.decline(&reading.questions);
    }

    /// Declines the questions that wait for the next read, and for the one under way. They go on waiting for an
    /// answer: their senders may hear of nobody else.
    pub(super) fn decline_all(&mut self) {
        self.decline(&self.inbox.decline_questions());
        let reading = self.reading.as_mut().filter(|reading| !reading.are_declined);
        if let Some(reading) = reading {
            reading.are_declined = true;
            let questions = reading.questions.clone();
            self.decline(&questions);
        }
    }

    /// Whether the changes that the store did not tell, as they were too many or too long ago, have been learned
    /// from another host meanwhile.
    fn is_filled(&self, target: Target, fault: &Fault) -> bool {
        matches!(fault, Fault::Compacted | Fault::TooManyChanges) && self.has_passed(target)
    }

    /// Whether others have told changes that were to be read.
    fn has_passed(&self, target: Target) -> bool {
        matches!(target, Target::Changes { after, .. } if self.revision > after)
    }

    fn record_read_failure(&mut self, target: Target, fault: &Fault, is_probed: bool) {
        self.record_call_failure(fault);
        if is_probed && matches!(fault, Fault::Unknown(_)) && !self.has_passed(target) {
            // The store has just answered a probe: what was missed takes too long to read.
            self.progress = Progress::Incomplete;
        }
    }

    /// Applies what was read to what the host knows by now. What others have told it meanwhile stays: changes
    /// that it has are passed over, items are read only while nobody's changes count, and of configurations the
    /// latest version counts.
    fn apply_content(&mut self, content: Content) -> Result<(), Fault> {
        match content {
            Content::Start(snapshot, batch) => {
                self.client.check_era(snapshot.era)?;
                self.apply_snapshot(&snapshot);
                self.record_response(clock::now(), self.others_after(&batch.changes));
                self.apply_changes(batch.changes, batch.until);
            }
            Content::Items(snapshot) => self.apply_snapshot(&snapshot),
            Content::Changes(batch) => {
                self.client.check_era(self.era)?;
                self.record_response(clock::now(), self.others_after(&batch.changes));
                self.apply_changes(batch.changes, batch.until);
            }
        }
        Ok(())
    }
}

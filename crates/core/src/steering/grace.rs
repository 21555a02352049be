//! Decides which requests a host that stops still takes.
//!
//! The load pattern is callers that go on using a host while it stops: their connections are open, and
//! their look-up answers still name it. What the host takes and cannot end is cut when its process ends,
//! and the caller of a request that must not run twice then does not know whether it has run. So a request
//! is taken only if it will have ended by then, and refused at once otherwise: the caller goes to another
//! host with all of its time left. See docs/incidents/inc-late-requests-in-stop.md.

use std::time::Duration;

/// Fraction of the grace period in which a request may be taken by the time that it usually takes. Later
/// requests are few, as the callers have heard of the stop, and are taken by their time limit alone.
const USUAL_TIME_RATIO: f64 = 0.3;

/// Time of a request, relative to the usual one, that few requests exceed.
const MAX_USUAL_RATIO: f64 = 3.0;

/// Time in which a host that stops ends what it has taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Period {
    /// Time until which the usual time of a request counts.
    usual_until: Duration,
    /// When the process ends.
    end: Duration,
}

impl Period {
    /// A period that starts now, and ends with the process after `length`.
    pub fn start(now: Duration, length: Duration) -> Self {
        Self { usual_until: now + length.mul_f64(USUAL_TIME_RATIO), end: now + length }
    }

    /// When the process ends.
    pub fn end(&self) -> Duration {
        self.end
    }

    /// Whether a request with this deadline may be sent to an instance now. `usual` is the time that such
    /// requests take; `None` if no answer has shown it.
    pub fn allows(&self, now: Duration, deadline: Duration, usual: Option<Duration>) -> bool {
        if deadline <= self.end {
            return true;
        }
        let ends_in_time = |usual: Duration| now + usual.mul_f64(MAX_USUAL_RATIO) <= self.end;
        now < self.usual_until && usual.is_some_and(ends_in_time)
    }
}

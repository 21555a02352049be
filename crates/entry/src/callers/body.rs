//! Bodies on their way through the host, in bounded memory.

use std::{
    future::Future as _,
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;
use marjorampick_core::budget::Budget;
use tokio::{
    sync::oneshot,
    time::{Instant, Sleep, sleep},
};

use super::{
    Callers,
    constants::{CHARGE_RETRY_INTERVAL, CHARGE_STEP_BYTES, SMALLEST_CHARGE_BYTES},
    exchange::Exchange,
    metrics,
    tokens::Taking,
};
use crate::shared::Request;

/// Charges bytes that cross regions before they are passed on.
pub(crate) struct Meter {
    callers: Arc<Callers>,
    service: Arc<str>,
    budget: Budget,
    due: u64,
    /// Whether the amount that is due was asked for in vain.
    again: bool,
    retry: Option<Pin<Box<Sleep>>>,
}

impl Meter {
    /// Meter that owes `due` bytes, for instance those of a head that was already passed on.
    pub(crate) fn new(callers: Arc<Callers>, service: Arc<str>, due: u64) -> Self {
        let budget = Budget::CrossRegion { service: service.clone() };
        Self { callers, service, budget, due, again: false, retry: None }
    }

    fn owe(&mut self, bytes: u64) {
        self.due += bytes;
    }

    /// Ready when everything owed is paid.
    fn poll_paid(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            if let Some(retry) = &mut self.retry {
                ready!(retry.as_mut().poll(context));
                self.retry = None;
            }
            self.pay_all();
            if self.due == 0 {
                return Poll::Ready(());
            }
            self.ask_for_loan();
            self.retry = Some(Box::pin(sleep(CHARGE_RETRY_INTERVAL)));
        }
    }

    /// Pays what can be paid without waiting.
    fn pay_all(&mut self) {
        while self.due > 0 && self.pay() {}
    }

    /// Pays one step, or a smaller piece when the budget is short of a whole step.
    fn pay(&mut self) -> bool {
        let mut piece = self.due.min(CHARGE_STEP_BYTES as u64);
        loop {
            let taking = Taking::whole(self.again);
            if (self.callers.tokens.take)(&self.budget, piece, taking) {
                self.due -= piece;
                self.again = false;
                metrics::crossed(&self.service, piece);
                return true;
            }
            self.again = true;
            if piece <= SMALLEST_CHARGE_BYTES {
                return false;
            }
            piece = (piece / 4).max(SMALLEST_CHARGE_BYTES);
        }
    }

    fn ask_for_loan(&self) {
        let (wake, _) = oneshot::channel();
        let request = Request::Short { budget: self.budget.clone(), wanted: self.due, wake };
        // With a full queue the stream asks again after the pause.
        self.callers.shared.control.try_send(request).ok();
    }
}

/// A piece that was read but is not paid for yet; none other is read meanwhile.
#[derive(Default)]
struct Held(Option<Frame<Bytes>>);

impl Held {
    fn hold(&mut self, frame: Frame<Bytes>, meter: &mut Option<Meter>) {
        if let Some(meter) = meter {
            meter.owe(frame.data_ref().map_or(0, |data| data.len() as u64));
        }
        self.0 = Some(frame);
    }

    /// The held piece once it is paid for; `None` when there is none.
    fn poll_release(
        &mut self,
        meter: &mut Option<Meter>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Frame<Bytes>>> {
        if let (Some(_), Some(meter)) = (&self.0, meter) {
            ready!(meter.poll_paid(context));
        }
        Poll::Ready(self.0.take())
    }
}

/// A caller's body on its way to a backend server in another region.
pub(crate) struct Metered {
    inner: Body,
    meter: Option<Meter>,
    held: Held,
}

impl Metered {
    pub(crate) fn new(inner: Body, meter: Meter) -> Self {
        Self { inner, meter: Some(meter), held: Held::default() }
    }
}

impl http_body::Body for Metered {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let this = self.get_mut();
        if let Some(frame) = ready!(this.held.poll_release(&mut this.meter, context)) {
            return Poll::Ready(Some(Ok(frame)));
        }
        match ready!(Pin::new(&mut this.inner).poll_frame(context)) {
            Some(Ok(frame)) => this.held.hold(frame, &mut this.meter),
            end => return Poll::Ready(end),
        }
        let released = ready!(this.held.poll_release(&mut this.meter, context));
        Poll::Ready(released.map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.held.0.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A backend server's body on its way to the caller.
///
/// It fails when the backend server's body is cut short or stalls; the HTTP library then aborts the
/// caller's connection, so that a part is never taken for the whole.
pub(crate) struct Relayed {
    inner: Incoming,
    exchange: Exchange,
    meter: Option<Meter>,
    held: Held,
    stall_timeout: Duration,
    stall: Option<Pin<Box<Sleep>>>,
}

impl Relayed {
    pub(crate) fn new(
        inner: Incoming,
        exchange: Exchange,
        meter: Option<Meter>,
        stall_timeout: Duration,
    ) -> Self {
        let mut answer =
            Self { inner, exchange, meter, held: Held::default(), stall_timeout, stall: None };
        answer.finish_if_complete();
        answer
    }

    fn finish_if_complete(&mut self) {
        if self.inner.is_end_stream() {
            self.exchange.finish();
            if let (None, Some(meter)) = (&self.held.0, &mut self.meter) {
                // The library doesn't ask for the pieces of an empty body.
                meter.pay_all();
            }
        }
    }

    fn poll_inner(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Poll::Ready(next) = Pin::new(&mut self.inner).poll_frame(context) {
            self.stall = None;
            return Poll::Ready(next.map(|frame| frame.map_err(io::Error::other)));
        }
        let limit = self.stall_timeout;
        let stall = self.stall.get_or_insert_with(|| Box::pin(sleep(limit)));
        if stall.deadline() <= Instant::now() || stall.as_mut().poll(context).is_ready() {
            let stalled = io::Error::new(io::ErrorKind::TimedOut, "the answer stalled");
            return Poll::Ready(Some(Err(stalled)));
        }
        Poll::Pending
    }
}

impl http_body::Body for Relayed {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let this = self.get_mut();
        if let Some(frame) = ready!(this.held.poll_release(&mut this.meter, context)) {
            return Poll::Ready(Some(Ok(frame)));
        }
        match ready!(this.poll_inner(context)) {
            Some(Ok(frame)) => {
                this.exchange.received(&frame);
                this.held.hold(frame, &mut this.meter);
                this.finish_if_complete();
            }
            Some(Err(error)) => {
                this.exchange.fail(&error);
                return Poll::Ready(Some(Err(error)));
            }
            None => {
                this.exchange.finish();
                return Poll::Ready(None);
            }
        }
        let released = ready!(this.held.poll_release(&mut this.meter, context));
        Poll::Ready(released.map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.held.0.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

//! Request and response bodies that are forwarded one frame at a time, and the charging of their
//! bytes to the cross-region budget. At most one frame of a body is kept in memory.

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
    tokens::TakeOptions,
};
use crate::shared::Request;

/// Charges bytes to the cross-region budget of a service before they are forwarded.
pub(crate) struct Meter {
    callers: Arc<Callers>,
    service: Arc<str>,
    budget: Budget,
    /// Bytes that are not charged yet.
    due_bytes: u64,
    /// Whether the last attempt to charge failed, so that the next one isn't counted as new demand.
    after_shortfall: bool,
    retry_timer: Option<Pin<Box<Sleep>>>,
}

impl Meter {
    /// Meter with `due_bytes` to charge, for instance those of headers that were already forwarded.
    pub(crate) fn new(callers: Arc<Callers>, service: Arc<str>, due_bytes: u64) -> Self {
        let budget = Budget::CrossRegion { service: service.clone() };
        Self { callers, service, budget, due_bytes, after_shortfall: false, retry_timer: None }
    }

    fn add_due(&mut self, bytes: u64) {
        self.due_bytes += bytes;
    }

    /// Ready when all due bytes are charged. Retries at intervals while the budget is exhausted.
    fn poll_charged(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            if let Some(retry_timer) = &mut self.retry_timer {
                ready!(retry_timer.as_mut().poll(context));
                self.retry_timer = None;
            }
            self.charge_available();
            if self.due_bytes == 0 {
                return Poll::Ready(());
            }
            self.request_loan();
            self.retry_timer = Some(Box::pin(sleep(CHARGE_RETRY_INTERVAL)));
        }
    }

    /// Charges as many due bytes as the budget allows now.
    fn charge_available(&mut self) {
        while self.due_bytes > 0 && self.charge_step() {}
    }

    /// Charges one step, or fewer bytes if the budget doesn't allow a whole step. Returns whether
    /// any were charged.
    fn charge_step(&mut self) -> bool {
        let mut amount = self.due_bytes.min(CHARGE_STEP_BYTES as u64);
        loop {
            let options = TakeOptions::with_headroom(self.after_shortfall);
            if (self.callers.tokens.take)(&self.budget, amount, options) {
                self.due_bytes -= amount;
                self.after_shortfall = false;
                metrics::record_cross_region_bytes(&self.service, amount);
                return true;
            }
            self.after_shortfall = true;
            if amount <= SMALLEST_CHARGE_BYTES {
                return false;
            }
            amount = (amount / 4).max(SMALLEST_CHARGE_BYTES);
        }
    }

    fn request_loan(&self) {
        let (wake, _) = oneshot::channel();
        let request =
            Request::TokensNeeded { budget: self.budget.clone(), wanted: self.due_bytes, wake };
        // If the queue is full, the loan is requested again after the next retry interval.
        self.callers.shared.control.try_send(request).ok();
    }
}

/// Frame that was read but whose bytes are not charged yet. No other frame is read meanwhile.
#[derive(Default)]
struct Pending(Option<Frame<Bytes>>);

impl Pending {
    fn set(&mut self, frame: Frame<Bytes>, meter: &mut Option<Meter>) {
        if let Some(meter) = meter {
            meter.add_due(frame.data_ref().map_or(0, |data| data.len() as u64));
        }
        self.0 = Some(frame);
    }

    /// Takes out the frame once its bytes are charged; `None` if there is none.
    fn poll_take(
        &mut self,
        meter: &mut Option<Meter>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Frame<Bytes>>> {
        if let (Some(_), Some(meter)) = (&self.0, meter) {
            ready!(meter.poll_charged(context));
        }
        Poll::Ready(self.0.take())
    }
}

/// Body of a request to a backend server in another region; charges its bytes.
pub(crate) struct Metered {
    inner: Body,
    meter: Option<Meter>,
    pending: Pending,
}

impl Metered {
    pub(crate) fn new(inner: Body, meter: Meter) -> Self {
        Self { inner, meter: Some(meter), pending: Pending::default() }
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
        if let Some(frame) = ready!(this.pending.poll_take(&mut this.meter, context)) {
            return Poll::Ready(Some(Ok(frame)));
        }
        match ready!(Pin::new(&mut this.inner).poll_frame(context)) {
            Some(Ok(frame)) => this.pending.set(frame, &mut this.meter),
            end => return Poll::Ready(end),
        }
        let frame = ready!(this.pending.poll_take(&mut this.meter, context));
        Poll::Ready(frame.map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.pending.0.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Body of a backend server's response, relayed to the caller.
///
/// It fails if the backend server's body is cut short or stalls. hyper then aborts the caller's
/// connection, so that the caller can't take a part of the body for the whole.
pub(crate) struct Relayed {
    inner: Incoming,
    exchange: Exchange,
    meter: Option<Meter>,
    pending: Pending,
    stall_timeout: Duration,
    /// Runs while no frame arrives.
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl Relayed {
    pub(crate) fn new(
        inner: Incoming,
        exchange: Exchange,
        meter: Option<Meter>,
        stall_timeout: Duration,
    ) -> Self {
        let mut body = Self {
            inner,
            exchange,
            meter,
            pending: Pending::default(),
            stall_timeout,
            stall_timer: None,
        };
        body.finish_if_complete();
        body
    }

    /// Ends the exchange if no frame follows.
    fn finish_if_complete(&mut self) {
        if self.inner.is_end_stream() {
            self.exchange.finish();
            if let (None, Some(meter)) = (&self.pending.0, &mut self.meter) {
                // hyper doesn't poll an empty body, so the bytes of the headers are charged here.
                meter.charge_available();
            }
        }
    }

    /// Next frame of the backend server, or an error if none arrives within the stall timeout.
    fn poll_inner(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Poll::Ready(next) = Pin::new(&mut self.inner).poll_frame(context) {
            self.stall_timer = None;
            return Poll::Ready(next.map(|frame| frame.map_err(io::Error::other)));
        }
        let timeout = self.stall_timeout;
        let timer = self.stall_timer.get_or_insert_with(|| Box::pin(sleep(timeout)));
        if timer.deadline() <= Instant::now() || timer.as_mut().poll(context).is_ready() {
            let stalled =
                io::Error::new(io::ErrorKind::TimedOut, "no data within the stall timeout");
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
        if let Some(frame) = ready!(this.pending.poll_take(&mut this.meter, context)) {
            return Poll::Ready(Some(Ok(frame)));
        }
        match ready!(this.poll_inner(context)) {
            Some(Ok(frame)) => {
                this.exchange.record_frame(&frame);
                this.pending.set(frame, &mut this.meter);
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
        let frame = ready!(this.pending.poll_take(&mut this.meter, context));
        Poll::Ready(frame.map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.pending.0.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

//! Threads of the entry host, each with its own Tokio runtime.

use std::{
    io,
    thread::{Builder, JoinHandle},
};

use tokio::sync::mpsc;

/// Sends the name of each thread that has ended or panicked.
#[derive(Clone)]
pub struct ExitNotifier(mpsc::UnboundedSender<&'static str>);

impl ExitNotifier {
    /// Returns a notifier and the receiver of the names.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<&'static str>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self(sender), receiver)
    }
}

/// Notifies of the end of a thread when it is dropped.
struct Guard {
    name: &'static str,
    notifier: ExitNotifier,
}

impl Drop for Guard {
    fn drop(&mut self) {
        // While the process ends, the receiver no longer exists.
        let _ = self.notifier.0.send(self.name);
    }
}

/// Starts a thread that runs the future returned by `make_future`, which need not be [`Send`].
///
/// # Errors
///
/// The runtime or the thread could not be created.
pub fn spawn<F>(
    name: &'static str,
    notifier: &ExitNotifier,
    make_future: impl FnOnce() -> F + Send + 'static,
) -> io::Result<JoinHandle<()>>
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let guard = Guard { name, notifier: notifier.clone() };
    Builder::new().name(name.to_owned()).spawn(move || {
        let _guard = guard;
        runtime.block_on(async { make_future().await });
    })
}

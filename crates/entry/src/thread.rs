//! Threads of the entry host, each with a Tokio runtime of its own.

use std::{
    io,
    thread::{Builder, JoinHandle},
};

use tokio::sync::mpsc;

/// Reports the name of a thread that has ended, also when it panicked.
#[derive(Clone)]
pub struct ExitNotifier(mpsc::UnboundedSender<&'static str>);

impl ExitNotifier {
    /// A reporter and the receiver of its reports.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<&'static str>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self(sender), receiver)
    }
}

struct Guard {
    name: &'static str,
    ended: ExitNotifier,
}

impl Drop for Guard {
    fn drop(&mut self) {
        // The receiver is gone while the process ends.
        let _ = self.ended.0.send(self.name);
    }
}

/// Starts a thread that runs the future that `work` makes.
pub fn spawn<F>(
    name: &'static str,
    ended: &ExitNotifier,
    work: impl FnOnce() -> F + Send + 'static,
) -> io::Result<JoinHandle<()>>
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let guard = Guard { name, ended: ended.clone() };
    Builder::new().name(name.to_owned()).spawn(move || {
        let _guard = guard;
        runtime.block_on(async { work().await });
    })
}

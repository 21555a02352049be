//! The thread `peers`: carries messages between the control thread and other entry hosts.

use std::{net::SocketAddr, time::Duration};

use marjorampick_core::{
    host::event::Event,
    message::{Message, Sender},
};
use marjorampick_link::peer::{Credentials, Fault, Peers};
use tokio::sync::{mpsc, oneshot};

/// Time for queued messages to leave when the process ends.
const CLOSE_GRACE: Duration = Duration::from_millis(300);

/// Messages between the peer transport and the control thread that may wait.
const RECEIVED_QUEUE_LENGTH: usize = 1024;

/// A message that the control thread sends.
pub struct Transmission {
    /// Address of the receiver's peer listener.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// Runs until the control thread drops its end of `outgoing`.
pub async fn run(
    address: SocketAddr,
    from: Sender,
    credentials: Credentials,
    mut outgoing: mpsc::Receiver<Transmission>,
    events: mpsc::Sender<Event>,
    opened: oneshot::Sender<Result<(), Fault>>,
) {
    let (sender, mut received) = mpsc::channel(RECEIVED_QUEUE_LENGTH);
    let peers = match Peers::open_at(address, from, &credentials, sender) {
        Ok(peers) => peers,
        Err(fault) => {
            let _ = opened.send(Err(fault));
            return;
        }
    };
    log::info!("peers: listening on {address}");
    let _ = opened.send(Ok(()));
    loop {
        tokio::select! {
            message = outgoing.recv() => match message {
                Some(outgoing) => peers.send(outgoing.to, outgoing.message),
                None => break,
            },
            Some(envelope) = received.recv() => {
                if events.send(Event::MessageReceived(envelope)).await.is_err() {
                    break;
                }
            }
        }
    }
    peers.close(CLOSE_GRACE).await;
}

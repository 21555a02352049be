//! The thread `peers`, which carries messages between the control thread and other entry hosts.

use std::{net::SocketAddr, time::Duration};

use marjorampick_core::{
    host::event::Event,
    message::{Message, Sender},
};
use marjorampick_link::peer::{Credentials, Fault, Peers};
use tokio::sync::{mpsc, oneshot};

/// Maximum time to send the queued messages when the process ends.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of received messages that wait to be passed to the control thread.
const RECEIVED_QUEUE_LENGTH: usize = 1024;

/// A message to send, with the address of its recipient.
pub struct Transmission {
    /// Address of the recipient's peer listener.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// Opens the socket at `address`, reports the result to `opened`, and carries messages until the
/// control thread drops its end of `messages`.
///
/// `sender` identifies this host to its peers. Received messages go to `events`.
pub async fn run(
    address: SocketAddr,
    sender: Sender,
    credentials: Credentials,
    mut messages: mpsc::Receiver<Transmission>,
    events: mpsc::Sender<Event>,
    opened: oneshot::Sender<Result<(), Fault>>,
) {
    let (received, mut received_queue) = mpsc::channel(RECEIVED_QUEUE_LENGTH);
    let peers = match Peers::open_at(address, sender, &credentials, received) {
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
            transmission = messages.recv() => match transmission {
                Some(transmission) => peers.send(transmission.to, transmission.message),
                None => break,
            },
            Some(envelope) = received_queue.recv() => {
                if events.send(Event::MessageReceived(envelope)).await.is_err() {
                    break;
                }
            }
        }
    }
    peers.close(CLOSE_TIMEOUT).await;
}

//! Requests as callers send them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::record::Record;

/// Longest time for opening a connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// A request that was sent, and its answer.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub sent_at: f64,
    /// `None` if the connection ended without an answer, or the time was over.
    pub status: Option<u16>,
}

/// Body that is sent evenly over a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Body {
    pub bytes: usize,
    pub time: Duration,
}

/// Pieces in which a body is sent.
const PIECES: u32 = 20;

/// Sends a request on a new connection, and waits for its answer up to the time limit.
pub async fn send(
    record: Arc<Record>,
    host: SocketAddr,
    path: String,
    id: String,
    key: &'static str,
    limit: Duration,
    body: Body,
) -> Sent {
    let method = if body.bytes > 0 { "POST" } else { "GET" };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Credential: {key}\r\nContent-Length: {}\r\n\r\n",
        limit.as_millis(),
        body.bytes
    );
    let mut sent_at = record.now();
    let exchange = async {
        let mut stream = timeout(CONNECT_TIME, TcpStream::connect(host)).await.ok()?.ok()?;
        sent_at = record.write(&format!("sent {id} {path} to {host}"));
        stream.write_all(text.as_bytes()).await.ok()?;
        let (mut reader, mut writer) = stream.split();
        let piece = vec![b'x'; body.bytes / PIECES as usize];
        let writing = async {
            for _ in 0..PIECES {
                sleep(body.time / PIECES).await;
                if writer.write_all(&piece).await.is_err() {
                    break;
                }
            }
            std::future::pending().await
        };
        let reading = async {
            let mut bytes = Vec::new();
            loop {
                if let Some(status) = status_of(&bytes) {
                    return Some(status);
                }
                if reader.read_buf(&mut bytes).await.ok()? == 0 {
                    return None;
                }
            }
        };
        tokio::select! {
            status = reading => status,
            () = writing, if body.bytes > 0 => None,
        }
    };
    let status = timeout(limit + Duration::from_millis(500), exchange).await.ok().flatten();
    let word = status.map_or("none".to_owned(), |status| status.to_string());
    record.write(&format!("answered {id} {word}"));
    Sent { id, sent_at, status }
}

/// Status of a response that is complete.
fn status_of(bytes: &[u8]) -> Option<u16> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let length = lines.find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|(_, value)| value.trim().parse().ok()).unwrap_or(0);
    (body.len() >= length).then_some(status)
}

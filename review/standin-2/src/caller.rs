//! Requests as callers send them.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpSocket, TcpStream},
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
                if is_whole(&bytes) {
                    return head(&bytes).map(|(status, _, _)| status);
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

/// How an answer ended at its caller.
#[derive(Clone, Debug)]
pub enum End {
    Whole(u16),
    /// The connection ended before the announced length.
    Cut,
    /// The time limit came first.
    Late,
}

/// Link over which a caller reads, a piece at a time.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    pub piece_bytes: usize,
    pub interval: Duration,
}

/// Connects from this address, with a receive buffer of this size; `None` for the usual one.
pub async fn connect(
    own: Ipv4Addr,
    host: SocketAddr,
    buffer_bytes: Option<u32>,
) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if let Some(bytes) = buffer_bytes {
        socket.set_recv_buffer_size(bytes)?;
    }
    socket.bind(SocketAddr::from((own, 0)))?;
    timeout(CONNECT_TIME, socket.connect(host)).await?
}

/// Sends a GET request on an open connection and reads the answer as the link allows.
pub async fn read_over(
    record: &Record,
    stream: &mut TcpStream,
    request: (&str, &str, &str),
    limit: Duration,
    link: Link,
) -> End {
    let (path, id, key) = request;
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Credential: {key}\r\n\r\n",
        limit.as_millis()
    );
    record.write(&format!("sent {id} {path}"));
    let mut bytes = Vec::new();
    let mut piece = vec![0; link.piece_bytes];
    let reading = async {
        stream.write_all(text.as_bytes()).await?;
        while !is_whole(&bytes) {
            let length = stream.read(&mut piece).await?;
            if length == 0 {
                break;
            }
            bytes.extend_from_slice(&piece[..length]);
            if length > link.piece_bytes / 2 {
                sleep(link.interval).await;
            }
        }
        std::io::Result::Ok(())
    };
    let result = timeout(limit, reading).await;
    let status = head(&bytes).map(|(status, _, _)| status);
    let end = match (is_whole(&bytes), status) {
        (true, Some(status)) => End::Whole(status),
        _ if result.is_err() => End::Late,
        _ => End::Cut,
    };
    record.write(&format!(
        "ended {id} {end:?}, status {status:?}, {} bytes, {result:?}",
        bytes.len()
    ));
    end
}

/// Status of an answer, size of its head and length of its body.
fn head(bytes: &[u8]) -> Option<(u16, usize, usize)> {
    let window = &bytes[..bytes.len().min(4096)];
    let end = window.windows(4).position(|four| four == b"\r\n\r\n")?;
    let text = std::str::from_utf8(&window[..end]).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let mut lines = text.lines().filter_map(|line| line.split_once(':'));
    let length = lines.find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    Some((status, end + 4, length.and_then(|(_, value)| value.trim().parse().ok()).unwrap_or(0)))
}

fn is_whole(bytes: &[u8]) -> bool {
    head(bytes).is_some_and(|(_, head_bytes, length)| bytes.len() >= head_bytes + length)
}

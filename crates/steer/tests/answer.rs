//! Guards what counts as an instance's answer.

use bytes::BytesMut;
use http::Method;
use marjorampick_steer::backend::answer::{Answer, Garbled, Reader};

/// Feeds `bytes` one at a time, so that every split of the stream is met.
fn read(bytes: &[u8]) -> Result<Vec<Answer>, Garbled> {
    let mut reader = Reader::default();
    let mut buffer = BytesMut::new();
    let mut answers = Vec::new();
    for byte in bytes {
        buffer.extend_from_slice(&[*byte]);
        while let Some(answer) = reader.next(&mut buffer, &Method::GET)? {
            answers.push(answer);
        }
    }
    answers.extend(reader.close());
    Ok(answers)
}

fn bodies(bytes: &[u8]) -> Vec<String> {
    let answers = read(bytes).unwrap();
    answers.iter().map(|answer| String::from_utf8(answer.body.to_vec()).unwrap()).collect()
}

/// Guards against a body that is cut, or runs into the next answer.
#[test]
fn bodies_end_by_length_chunks_or_close() {
    let sized = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc";
    let chunked =
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;x=y\r\nde\r\n1\r\nf\r\n0\r\nt: u\r\n\r\n";
    let open = b"HTTP/1.1 200 OK\r\n\r\nghi";
    let all = [&sized[..], &chunked[..], &open[..]].concat();
    assert_eq!(bodies(&all), ["abc", "def", "ghi"]);
}

/// Guards against a part of an answer that is taken for the whole.
#[test]
fn a_cut_answer_is_none() {
    assert!(bodies(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nab").is_empty());
    assert!(bodies(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab").is_empty());
    assert!(bodies(b"HTTP/1.1 200 OK\r\ncontent-le").is_empty());
}

/// Guards against an interim answer that is passed on as the final one.
#[test]
fn interim_answers_are_passed_over() {
    let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    assert_eq!(bodies(bytes), ["ok"]);
}

/// Guards against answers whose end can be read in two ways.
#[test]
fn ambiguous_or_foreign_bytes_are_garbled() {
    for bytes in [
        &b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n"[..],
        &b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\n"[..],
        &b"HTTP/1.1 200 OK\r\ncontent-length: -3\r\n\r\n"[..],
        &b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n"[..],
        &b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n"[..],
        &b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nabc\r\n"[..],
        &b"!!! no answer\r\n\r\n"[..],
    ] {
        assert!(read(bytes).is_err(), "{:?}", String::from_utf8_lossy(bytes));
    }
}

/// Guards against waiting for a body that a method or status rules out.
#[test]
fn some_answers_have_no_body() {
    let mut reader = Reader::default();
    let mut buffer = BytesMut::from(&b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n"[..]);
    let answer = reader.next(&mut buffer, &Method::HEAD).unwrap().unwrap();
    assert!(answer.body.is_empty());
    assert_eq!(bodies(b"HTTP/1.1 204 No Content\r\n\r\n"), [""]);
}

/// Guards against a panic on bytes from a faulty instance.
#[test]
fn any_bytes_are_read_without_a_panic() {
    arbtest::arbtest(|random| {
        let mut bytes = b"HTTP/1.1 200 OK\r\n".to_vec();
        let pieces: [&[u8]; 8] = [
            b"content-length: 5\r\n",
            b"transfer-encoding: chunked\r\n",
            b"\r\n",
            b"5\r\nabcde\r\n",
            b"0\r\n\r\n",
            b"HTTP/1.1 503 X\r\n",
            b"\xff\x00",
            b"ffffffffffffffff\r\n",
        ];
        for _ in 0..random.int_in_range(0..=12)? {
            bytes.extend_from_slice(random.choose(&pieces)?);
        }
        read(&bytes).ok();
        Ok(())
    });
}

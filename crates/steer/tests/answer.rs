//! Tests of the parser for answers of backend servers.

use bytes::BytesMut;
use http::Method;
use marjorampick_steer::backend::answer::{Answer, Malformed, Parser};

/// Parses `bytes` one at a time, which covers every split of the stream.
fn parse(bytes: &[u8]) -> Result<Vec<Answer>, Malformed> {
    let mut parser = Parser::default();
    let mut buffer = BytesMut::new();
    let mut answers = Vec::new();
    for byte in bytes {
        buffer.extend_from_slice(&[*byte]);
        while let Some(answer) = parser.next(&mut buffer, &Method::GET)? {
            answers.push(answer);
        }
    }
    answers.extend(parser.end_of_stream());
    Ok(answers)
}

fn bodies(bytes: &[u8]) -> Vec<String> {
    let answers = parse(bytes).unwrap();
    answers.iter().map(|answer| String::from_utf8(answer.body.to_vec()).unwrap()).collect()
}

/// Guards against bodies that are truncated or include bytes of the next answer.
#[test]
fn bodies_end_by_length_chunks_or_close() {
    let sized = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc";
    let chunked =
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;x=y\r\nde\r\n1\r\nf\r\n0\r\nt: u\r\n\r\n";
    let open = b"HTTP/1.1 200 OK\r\n\r\nghi";
    let all = [&sized[..], &chunked[..], &open[..]].concat();
    assert_eq!(bodies(&all), ["abc", "def", "ghi"]);
}

/// Guards against truncated answers that are taken for complete ones.
#[test]
fn truncated_answers_are_not_returned() {
    assert!(bodies(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nab").is_empty());
    assert!(bodies(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab").is_empty());
    assert!(bodies(b"HTTP/1.1 200 OK\r\ncontent-le").is_empty());
}

/// Guards against an interim answer that is taken for the final one.
#[test]
fn interim_answers_are_skipped() {
    let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    assert_eq!(bodies(bytes), ["ok"]);
}

/// Guards against answers whose end is ambiguous, which could hide another answer in the body.
#[test]
fn ambiguous_or_invalid_answers_are_malformed() {
    for bytes in [
        &b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n"[..],
        &b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\n"[..],
        &b"HTTP/1.1 200 OK\r\ncontent-length: -3\r\n\r\n"[..],
        &b"HTTP/1.1 200 OK\r\ncontent-length: +3\r\n\r\nabc"[..],
        &b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n"[..],
        &b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n"[..],
        &b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nabc\r\n"[..],
        &b"!!! no answer\r\n\r\n"[..],
    ] {
        assert!(parse(bytes).is_err(), "{:?}", String::from_utf8_lossy(bytes));
    }
}

/// Guards against waiting for the body of an answer that has none by its method or status.
#[test]
fn answers_to_head_and_204_answers_have_no_body() {
    let mut parser = Parser::default();
    let mut buffer = BytesMut::from(&b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n"[..]);
    let answer = parser.next(&mut buffer, &Method::HEAD).unwrap().unwrap();
    assert!(answer.body.is_empty());
    assert_eq!(bodies(b"HTTP/1.1 204 No Content\r\n\r\n"), [""]);
    assert_eq!(bodies(b"HTTP/1.1 204 No Content\r\ncontent-length: 0\r\n\r\n"), [""]);
    assert_eq!(bodies(b"HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n"), [""]);
    assert_eq!(bodies(b"HTTP/1.1 304 Not Modified\r\ntransfer-encoding: chunked\r\n\r\n"), [""]);
}

/// A spoilt length was passed on to the caller where no body follows.
#[test]
fn a_spoilt_length_is_no_length_of_an_answer_without_a_body() {
    for value in ["+9", "-9", "9x", "", "9, 9", "9\r\ncontent-length: 8"] {
        for status in ["200 OK", "304 Not Modified", "204 No Content"] {
            let head = format!("HTTP/1.1 {status}\r\ncontent-length: {value}\r\n\r\n");
            let mut buffer = BytesMut::from(head.as_bytes());
            assert!(Parser::default().next(&mut buffer, &Method::HEAD).is_err(), "{head:?}");
        }
    }
}

/// An answer whose status allows no body announced one, which was cut off: the caller got an empty answer as the
/// complete one.
#[test]
fn an_answer_that_can_have_no_body_announces_none() {
    for field in ["content-length: 5", "transfer-encoding: chunked"] {
        let head = format!("HTTP/1.1 204 No Content\r\n{field}\r\n\r\n");
        let mut buffer = BytesMut::from(head.as_bytes());
        assert!(Parser::default().next(&mut buffer, &Method::GET).is_err(), "{head:?}");
    }
}

/// Guards against panics on invalid bytes from a faulty instance.
#[test]
fn arbitrary_bytes_cause_no_panic() {
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
        parse(&bytes).ok();
        Ok(())
    });
}

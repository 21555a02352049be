//! Request heads and bodies of any shape, as callers out of control send them.

use marjorampick_link::wire::framing::{Ambiguous, Position, Scanner};

const LINE_LIMIT_BYTES: usize = 512;

/// What a scanner reports after some bytes.
fn scan(pieces: &[&[u8]]) -> Result<(Position, usize), Ambiguous> {
    let mut scanner = Scanner::new(LINE_LIMIT_BYTES);
    pieces.iter().try_for_each(|piece| scanner.scan(piece))?;
    Ok((scanner.position(), scanner.head_lines()))
}

/// A request with this many fields, and a body in chunks of these sizes.
fn chunked_request(fields: usize, chunks: &[u8]) -> Vec<u8> {
    let mut text = b"POST / HTTP/1.1\r\n".to_vec();
    (0..fields).for_each(|number| text.extend(format!("a{number}:\r\n").bytes()));
    text.extend(b"Transfer-Encoding: chunked\r\n\r\n");
    for size in chunks.iter().filter(|size| **size > 0) {
        text.extend(format!("{size:x};x=y\r\n").bytes());
        text.extend(std::iter::repeat_n(b'\n', usize::from(*size)));
        text.extend(b"\r\n");
    }
    text.extend(b"0\r\nTrailer: x\r\n\r\n");
    text
}

/// The limits of a connection follow from the position in the request, which must not depend on the pieces
/// in which bytes arrive; nor may any bytes cause a panic.
#[test]
fn any_bytes_mean_the_same_in_any_pieces() {
    const WORDS: [&[u8]; 10] = [
        b"GET / HTTP/1.1\r\n",
        b"\r\n",
        b"\n",
        b"a:\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: 18446744073709551615\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"ffffffffffffffff\r\n",
        b"3;q\r\nabc\r\n",
        b"0\r\n\r\n",
    ];
    arbtest::arbtest(|input| {
        let mut bytes = Vec::new();
        for _ in 0..input.int_in_range(0..=30)? {
            match input.ratio(1, 8)? {
                true => bytes.push(input.arbitrary()?),
                false => bytes.extend_from_slice(input.choose(&WORDS)?),
            }
        }
        let cut = input.int_in_range(0..=bytes.len())?;
        let (first, second) = bytes.split_at(cut);
        let whole = scan(&[&bytes]);
        assert_eq!(scan(&[first, second]), whole);
        let single: Vec<&[u8]> = bytes.chunks(1).collect();
        assert_eq!(scan(&single), whole);
        Ok(())
    });
}

/// Guards against fields that are not counted, and against a position that stays within a body, after which
/// the time limits of bodies would end an idle connection.
#[test]
fn a_chunked_request_ends_where_its_last_line_does() {
    arbtest::arbtest(|input| {
        let (fields, chunks) = (input.int_in_range(0..=60)?, input.arbitrary::<Vec<u8>>()?);
        let text = chunked_request(fields, &chunks);
        assert_eq!(scan(&[&text]), Ok((Position::Start, 0)));
        let head_bytes = text.windows(4).position(|bytes| bytes == b"\r\n\r\n").unwrap() + 2;
        assert_eq!(scan(&[&text[..head_bytes]]), Ok((Position::Head, fields + 2)));
        let cut = input.int_in_range(head_bytes + 2..=text.len() - 1)?;
        assert_eq!(scan(&[&text[..cut]]), Ok((Position::Body, 0)));
        Ok(())
    });
}

/// Guards against a body that is taken for that of an earlier request: the time limits of bodies would end the
/// connection while that request is being handled.
#[test]
fn requests_are_counted_at_their_last_byte() {
    arbtest::arbtest(|input| {
        let mut scanner = Scanner::new(LINE_LIMIT_BYTES);
        for count in 0..input.int_in_range(0..=5)? {
            let text = match input.int_in_range(0..=2)? {
                0 => b"\r\nGET / HTTP/1.1\r\n\r\n".to_vec(),
                1 => b"PUT / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc".to_vec(),
                _ => chunked_request(1, &input.arbitrary::<Vec<u8>>()?),
            };
            let (last, start) = text.split_last().unwrap();
            scanner.scan(start).unwrap();
            assert_eq!(scanner.request_count(), count);
            scanner.scan(&[*last]).unwrap();
            assert_eq!(scanner.request_count(), count + 1);
        }
        Ok(())
    });
}

//! The table of responses, read by the decoder.

use citronrill_http::response::{
    MAX_HEAD_BYTES, MAX_INTERIM, ResponseDecoder, ResponseError, Sink,
};
use citronrill_platform_standin::{Outcome, RawEnd, ResponseCase, response_cases};
use rstest::rstest;

const BODY: &str = "the whole body";

/// Keeps the body.
#[derive(Default)]
struct Body(Vec<u8>);

impl Sink for Body {
    fn data(&mut self, data: &[u8]) {
        self.0.extend_from_slice(data);
    }
}

/// Reads a response in parts of `size` bytes; returns its body if it is whole.
fn read(case: &ResponseCase, size: usize) -> Option<Vec<u8>> {
    let (mut decoder, mut body) = (ResponseDecoder::new(), Body::default());
    decoder.expect(false);
    for part in case.bytes("X-Signature: s\r\n", BODY).chunks(size) {
        decoder.push(part, &mut body).ok()?;
    }
    if case.end != RawEnd::Open {
        decoder.close(case.end == RawEnd::Reset).ok()?;
    }
    decoder.is_complete().then_some(body.0)
}

/// Guards against a response that is taken for a whole one, or for another than the worker's, wherever its bytes
/// are divided.
#[rstest]
fn each_response_has_its_outcome(#[values(1, 2, 7, 1 << 20)] size: usize) {
    let expected = |case: &ResponseCase| match case.outcome {
        Outcome::Whole => Some(BODY.as_bytes().to_vec()),
        Outcome::Empty => Some(Vec::new()),
        Outcome::Refused => None,
    };
    let wrong = response_cases().filter(|case| read(case, size) != expected(case));
    let wrong = wrong.map(|case| format!("{} {}", case.section, case.name)).collect::<Vec<_>>();
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// The response to a request for the head has the length that its body would have, and no body.
#[test]
fn a_response_to_a_request_for_the_head_has_no_body() {
    let mut decoder = ResponseDecoder::new();
    decoder.expect(true);
    let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    assert_eq!(decoder.push(bytes, &mut ()), Ok(bytes.len()));
    assert!(decoder.is_complete());
}

/// Guards against bytes after a response that are taken for the next one.
#[test]
fn bytes_after_a_response_belong_to_none() {
    let mut decoder = ResponseDecoder::new();
    decoder.expect(false);
    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    let twice = response.repeat(2);
    assert_eq!(decoder.push(&twice, &mut ()), Ok(response.len()));
    assert_eq!(decoder.push(&twice[response.len()..], &mut ()), Ok(0));
}

/// Guards against a head without end that is kept in memory.
#[test]
fn a_head_without_end_is_refused_at_its_limit() {
    let mut decoder = ResponseDecoder::new();
    decoder.expect(false);
    let mut read = decoder.push(b"HTTP/1.1 200 OK\r\nX-A: ", &mut ()).unwrap();
    while let Ok(used) = decoder.push(&[b'a'; 1_000], &mut ()) {
        read += used;
        assert!(read <= MAX_HEAD_BYTES);
    }
}

/// Guards against interim responses without end, which keep their reader busy.
#[test]
fn interim_responses_without_end_are_refused() {
    let mut decoder = ResponseDecoder::new();
    decoder.expect(false);
    let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
    assert!(decoder.push(&interim.repeat(MAX_INTERIM), &mut ()).is_ok());
    let error = decoder.push(interim, &mut ());
    assert_eq!(error, Err(ResponseError::TooManyInterim(MAX_INTERIM)));
}

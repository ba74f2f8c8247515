//! Messages and calls between daemons over loopback, and the codec's edge.

mod fakes {
    pub mod echo_peer;
    pub mod key_folder;
}

use {
    fakes::{
        echo_peer::{LONG, start_peer},
        key_folder::KeyFolder,
    },
    oleandermount::transport::{
        CodecError, PeerMessage, PeerReply, PeerRequest, TransportError,
        codec::{HEADER_LENGTH, MAX_FRAME, decode, encode, frame_length},
    },
    quickcheck::{Gen, QuickCheck},
    std::{net::UdpSocket, time::Duration},
};

const SEED: u64 = 0x6f6c_6561_6e64_6572;

#[tokio::test]
async fn messages_keep_order_and_calls_cross() {
    let keys = KeyFolder::new();
    let (home, mut heard) = start_peer("home", keys.files("home"), &[]);
    let (other, _) = start_peer("other", keys.files("other"), &[("home", home.local_address())]);
    let to = "home".to_owned();
    for revision in 1..=200 {
        other.send(&to, PeerMessage::ConfigNotice { revision });
    }
    let asked = other.call(&to, PeerRequest::Status, LONG);
    let refused = other.call(&to, PeerRequest::FetchConfig { have: 0 }, LONG);
    let (asked, refused) = futures::join!(asked, refused);
    assert_eq!(asked, Ok(PeerReply::Status("other".to_owned())));
    assert_eq!(refused, Ok(PeerReply::Refused("ask for the status".to_owned())));
    for revision in 1..=200 {
        let (from, message) = heard.recv().await.expect("the handler lives");
        assert_eq!((from.as_str(), message), ("other", PeerMessage::ConfigNotice { revision }));
    }
    home.close().await;
}

/// A caller is told that nothing was sent exactly where that is sure. A peer that does not exist,
/// that nobody listens for, or a request too large: nothing was sent. A peer that took the request
/// and fell silent may have acted on it, and the caller must not be told otherwise.
#[tokio::test]
async fn failures_tell_whether_anything_was_sent() {
    let keys = KeyFolder::new();
    let (home, _) = start_peer("home", keys.files("home"), &[]);
    let silent = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let silent_address = silent.local_addr().expect("it is bound");
    let peers = [("home", home.local_address()), ("silent", silent_address)];
    let (other, _) = start_peer("other", keys.files("other"), &peers);
    for peer in ["nobody", "silent"] {
        let error = other.call(&peer.to_owned(), PeerRequest::Status, LONG).await;
        let error = error.expect_err("there is no such peer");
        assert!(error.definitely_not_sent(), "{error}");
    }
    let huge = PeerRequest::Explain { request: "r".repeat(MAX_FRAME + 1) };
    let error = other.call(&"home".to_owned(), huge, LONG).await.expect_err("it is too large");
    assert!(error.definitely_not_sent(), "{error}");

    // With the connection up, the next call writes its request before any time can run out.
    other.call(&"home".to_owned(), PeerRequest::Status, LONG).await.expect("it answers");
    let taken = PeerRequest::Explain { request: "r".to_owned() };
    let error = other.call(&"home".to_owned(), taken, Duration::from_millis(500)).await;
    assert!(matches!(error, Err(TransportError::Unknown { .. })), "{error:?}");
}

#[test]
fn codec_survives_any_bytes() {
    fn any_bytes(body: Vec<u8>, header: (u8, u8, u8, u8)) -> bool {
        let _ = decode::<PeerMessage>(&body);
        let _ = decode::<PeerReply>(&body);
        let request = decode::<PeerRequest>(&body);
        let header = [header.0, header.1, header.2, header.3];
        let announced = u32::from_be_bytes(header) as usize;
        let bounded = frame_length(header).is_ok() == (announced <= MAX_FRAME);
        // Whatever decodes must encode to the same value again.
        let kept = request.is_err()
            || request.clone().is_ok_and(|value| {
                encode(&value).is_ok_and(|frame| decode(&frame[HEADER_LENGTH..]) == request)
            });
        bounded && kept
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, SEED))
        .tests(5_000)
        .quickcheck(any_bytes as fn(Vec<u8>, (u8, u8, u8, u8)) -> bool);
}

#[test]
fn codec_refuses_oversize_and_leftovers() {
    let reply = PeerReply::Config(Some("x".repeat(MAX_FRAME)));
    assert!(matches!(encode(&reply), Err(CodecError::Oversize { .. })));
    let mut frame = encode(&PeerRequest::Status).expect("it is small");
    frame.push(0);
    assert_eq!(decode::<PeerRequest>(&frame[HEADER_LENGTH..]), Err(CodecError::Malformed));
}

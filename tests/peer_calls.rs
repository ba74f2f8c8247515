//! Messages and calls between daemons over loopback, and the codec's handling of invalid input.

mod fakes {
    pub mod echo_peer;
    pub mod key_folder;
}

use {
    fakes::{
        echo_peer::{TEST_TIMEOUT, start_peer},
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
async fn messages_keep_order_beside_calls() {
    let keys = KeyFolder::new();
    let (home, mut received) = start_peer("home", keys.files("home"), &[]);
    let (other, _) = start_peer("other", keys.files("other"), &[("home", home.local_address())]);
    let to = "home".to_owned();
    for revision in 1..=200 {
        other.send(&to, PeerMessage::ConfigNotice { revision });
    }
    let asked = other.call(&to, PeerRequest::Status, TEST_TIMEOUT);
    let refused = other.call(&to, PeerRequest::FetchConfig { have: 0 }, TEST_TIMEOUT);
    let (asked, refused) = futures::join!(asked, refused);
    assert_eq!(asked, Ok(PeerReply::Status("other".to_owned())));
    assert_eq!(refused, Ok(PeerReply::Refused("ask for the status".to_owned())));
    for revision in 1..=200 {
        let (from, message) = received.recv().await.expect("the handler is running");
        assert_eq!((from.as_str(), message), ("other", PeerMessage::ConfigNotice { revision }));
    }
    home.close().await;
}

/// Guards against calls that are reported as not sent although the peer may have acted on them. A call
/// to an unknown or unresponsive peer, or with an oversize request, sends nothing. A peer that received
/// the request and does not reply may have acted on it.
#[tokio::test]
async fn errors_distinguish_unsent_requests() {
    let keys = KeyFolder::new();
    let (home, _) = start_peer("home", keys.files("home"), &[]);
    let unresponsive = UdpSocket::bind("127.0.0.1:0").expect("a port is available");
    let unresponsive_address = unresponsive.local_addr().expect("the socket is bound");
    let peers = [("home", home.local_address()), ("unresponsive", unresponsive_address)];
    let (other, _) = start_peer("other", keys.files("other"), &peers);
    for peer in ["unknown", "unresponsive"] {
        let error = other.call(&peer.to_owned(), PeerRequest::Status, TEST_TIMEOUT).await;
        let error = error.expect_err("the peer does not answer");
        assert!(error.definitely_not_sent(), "{error}");
    }
    let huge = PeerRequest::Explain { request: "r".repeat(MAX_FRAME + 1) };
    let error = other
        .call(&"home".to_owned(), huge, TEST_TIMEOUT)
        .await
        .expect_err("the request is too large");
    assert!(error.definitely_not_sent(), "{error}");

    // On an open connection, the next call writes its request before its timeout can expire.
    other
        .call(&"home".to_owned(), PeerRequest::Status, TEST_TIMEOUT)
        .await
        .expect("the peer answers");
    let unanswered = PeerRequest::Explain { request: "r".to_owned() };
    let error = other.call(&"home".to_owned(), unanswered, Duration::from_millis(500)).await;
    assert!(matches!(error, Err(TransportError::Unknown { .. })), "{error:?}");
}

#[test]
fn codec_handles_arbitrary_bytes() {
    fn property_holds(body: Vec<u8>, header: (u8, u8, u8, u8)) -> bool {
        let _ = decode::<PeerMessage>(&body);
        let _ = decode::<PeerReply>(&body);
        let request = decode::<PeerRequest>(&body);
        let header = [header.0, header.1, header.2, header.3];
        let announced = u32::from_be_bytes(header) as usize;
        let bounded = frame_length(header).is_ok() == (announced <= MAX_FRAME);
        // A decoded value must encode to a frame that decodes to the same value.
        let round_trips = request.is_err()
            || request.clone().is_ok_and(|value| {
                encode(&value).is_ok_and(|frame| decode(&frame[HEADER_LENGTH..]) == request)
            });
        bounded && round_trips
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, SEED))
        .tests(5_000)
        .quickcheck(property_holds as fn(Vec<u8>, (u8, u8, u8, u8)) -> bool);
}

#[test]
fn codec_rejects_oversize_and_trailing_bytes() {
    let reply = PeerReply::Config(Some("x".repeat(MAX_FRAME)));
    assert!(matches!(encode(&reply), Err(CodecError::Oversize { .. })));
    let mut frame = encode(&PeerRequest::Status).expect("the request is small");
    frame.push(0);
    assert_eq!(decode::<PeerRequest>(&frame[HEADER_LENGTH..]), Err(CodecError::Malformed));
}

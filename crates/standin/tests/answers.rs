//! Clients of external systems, and answers that are whole or break off.

use bytes::Bytes;
use flamingowheel_backing::backend::{BackendCall, BackendServer, BodyPiece, Priority};
use flamingowheel_backing::client::http::{HttpClient, HttpError, HttpLimits, Reuse};
use flamingowheel_backing::client::{BackendKind, HttpBackend};
use flamingowheel_standin::platform::raw::{Answer, Ending, Framing, RawServer};
use http::Method;
use http_body_util::Full;

const LIST: &[u8] = br#"{"items":["a","b"],"hasMore":false}"#;

async fn serve(answer: &Answer) -> RawServer {
    let answer = answer.clone();
    RawServer::start(move |_| answer.clone()).await.unwrap()
}

async fn fetch(server: &RawServer) -> Result<Bytes, HttpError> {
    let client =
        HttpClient::new(server.address.to_string().parse().unwrap(), HttpLimits::default());
    let request = client.request(Method::GET, "/list").body(Full::default()).unwrap();
    Ok(client.fetch(request, Reuse::Allowed).await?.body)
}

// Every reader of an answer as a whole (store, lists, reports of engines, orders) uses this client. A
// part of an answer, or nothing, must not pass for it.
#[tokio::test]
async fn fetch_cut_at_every_byte() {
    for framing in Framing::ALL {
        let whole = Answer::whole(framing, LIST.to_vec());
        let head_bytes = whole.head_bytes("");
        for cut in head_bytes..whole.encoded_bytes("") {
            let answer = Answer {
                cut_bytes: Some(cut),
                ending: Ending::Closed,
                ends_server: true,
                ..whole.clone()
            };
            let server = serve(&answer).await;
            assert_eq!(fetch(&server).await, Err(HttpError::Lost), "{framing:?} {cut}");
        }
        let server = serve(&whole).await;
        assert_eq!(fetch(&server).await, Ok(Bytes::from_static(LIST)), "{framing:?}");
    }
}

/// The bytes of a plain service's answer, and whether it is whole.
async fn call(server: &RawServer) -> (Vec<u8>, bool) {
    let authority = server.address.to_string().parse().unwrap();
    let service = HttpBackend::new(authority, BackendKind::Service, HttpLimits::default());
    let call = BackendCall {
        id: "a".to_owned(),
        method: Method::POST,
        path: "/orders".to_owned(),
        content_type: None,
        body: Bytes::new(),
        priority: Priority::default(),
        resume_after_events: 0,
    };
    let mut answer = service.call(call).await.unwrap();
    let mut bytes = Vec::new();
    while let Some(piece) = answer.body.recv().await {
        match piece {
            Ok(BodyPiece::Data(data)) => bytes.extend_from_slice(&data),
            Ok(BodyPiece::End) => return (bytes, true),
            Err(_) => return (bytes, false),
        }
    }
    (bytes, false)
}

// A plain service's answer that ends with its connection was always called malformed, and its call
// unknown, though the service lives and the answer is whole.
#[tokio::test]
async fn call_service_answer_ends_with_connection() {
    for framing in Framing::ALL {
        let whole = Answer::whole(framing, LIST.to_vec());
        assert_eq!(call(&serve(&whole).await).await, (LIST.to_vec(), true), "{framing:?}");
        let cut_bytes = Some(whole.head_bytes("") + 10);
        let broken = Answer { cut_bytes, ending: Ending::Closed, ends_server: true, ..whole };
        assert!(!call(&serve(&broken).await).await.1, "{framing:?}");
    }
}

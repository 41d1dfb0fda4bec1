//! Clients of external systems, and answers that are whole or break off.

use bytes::Bytes;
use flamingowheel_backing::client::http::{HttpClient, HttpError, HttpLimits, Reuse};
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

//! Clients of external systems, and answers that are whole or break off.

use bytes::Bytes;
use flamingowheel_backing::backend::{
    BackendCall, BackendError, BackendServer, BodyPiece, Priority,
};
use flamingowheel_backing::client::etcd::default_limits;
use flamingowheel_backing::client::http::{HttpClient, HttpError, HttpLimits, Reuse};
use flamingowheel_backing::client::{BackendKind, EtcdClient, HttpBackend, HttpVmList};
use flamingowheel_backing::kv::KeyValue;
use flamingowheel_backing::vm::VmList;
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

fn backend_call() -> BackendCall {
    BackendCall {
        id: "a".to_owned(),
        method: Method::POST,
        path: "/orders".to_owned(),
        content_type: None,
        body: Bytes::new(),
        priority: Priority::default(),
        resume_after_events: 0,
    }
}

/// The bytes of a plain service's answer, and whether it is whole.
async fn call(server: &RawServer) -> (Vec<u8>, bool) {
    let authority = server.address.to_string().parse().unwrap();
    let service = HttpBackend::new(authority, BackendKind::Service, HttpLimits::default());
    let mut answer = service.call(backend_call()).await.unwrap();
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

/// What stands in the place of a status: none of three digits, below 100, interim where the final one
/// is due, and above 599.
const NO_STATUSES: [&str; 11] =
    ["000", "099", "42", "2000", "", "abc", "-20", "101", "600", "999", "0x1"];

/// A server in trouble answers with a status that is none. Neither the reader of an answer as a whole
/// nor the agent, which passes it on to the caller, may take it for an answer.
#[tokio::test]
async fn call_answer_without_status() {
    for status in NO_STATUSES {
        let head = format!("HTTP/1.1 {status} Status\r\ncontent-length: 4\r\n\r\nnone");
        for ending in [Ending::Kept, Ending::Closed] {
            let other_bytes = Some(head.clone().into_bytes());
            let answer =
                Answer { other_bytes, ending, ..Answer::whole(Framing::Length, Vec::new()) };
            let server = serve(&answer).await;
            assert_eq!(fetch(&server).await, Err(HttpError::Malformed), "{status:?}");
            for kind in [BackendKind::Engine, BackendKind::Service] {
                let authority = server.address.to_string().parse().unwrap();
                let backend = HttpBackend::new(authority, kind, HttpLimits::default());
                let called = backend.call(backend_call()).await;
                assert!(matches!(called, Err(BackendError::Malformed)), "{status:?} {kind:?}");
            }
        }
    }
}

/// One VM of the list is nested very deeply, has an address that is none or a state that is not known.
/// The others must still be followed.
#[tokio::test]
async fn list_odd_vm_others_listed() {
    let sound = r#"{"name":"a","ip":"10.0.0.1","data_centre":"d","state":"live"}"#;
    let nested = ["[".repeat(100_000), "]".repeat(100_000)].concat();
    let odd = [
        nested.as_str(),
        "1e400",
        "null",
        "{}",
        r#"{"name":"b","ip":"10.0.0.1:70000","data_centre":"d","state":"live"}"#,
        r#"{"name":"b","ip":"10.0.0.999","data_centre":"d","state":"live"}"#,
        r#"{"name":"b","ip":"10.0.0.2","data_centre":"d","state":"other"}"#,
        r#"{"name":18446744073709551616,"ip":"10.0.0.2","data_centre":"d","state":"live"}"#,
    ];
    for odd in odd {
        let body = format!("[{sound},{odd},{sound}]").into_bytes();
        let server = serve(&Answer::whole(Framing::Length, body)).await;
        let authority = server.address.to_string().parse().unwrap();
        let vms = HttpVmList::new(authority, HttpLimits::default()).list().await;
        let names = vms.map(|vms| vms.into_iter().map(|vm| vm.name).collect::<Vec<_>>());
        assert_eq!(names, Ok(vec!["a".to_owned(); 2]), "{}", &odd[..odd.len().min(80)]);
    }
}

/// A key of another writer is no text. The other entries of the prefix must still be read.
#[tokio::test]
async fn range_odd_key_others_read() {
    let body = br#"{"header":{"revision":"7"},"kvs":[
        {"key":"cC8x","mod_revision":"5","value":"eA=="},
        {"key":"cC//","mod_revision":"6","value":"eQ=="},
        {"key":"cC8y","mod_revision":"7","value":"eg=="}]}"#;
    let server = serve(&Answer::whole(Framing::Length, body.to_vec())).await;
    let authority = server.address.to_string().parse().unwrap();
    let found = EtcdClient::new(authority, default_limits()).range("p/").await.unwrap();
    let keys: Vec<&str> = found.entries.iter().map(|entry| entry.key.as_str()).collect();
    assert_eq!(keys, ["p/1", "p/2"]);
}

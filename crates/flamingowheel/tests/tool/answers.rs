//! Answers of entries that break off.

use crate::session::environment;
use flamingowheel::cli::{Invocation, parse};
use flamingowheel::client::{Client, ClientError};
use flamingowheel::config::Config;
use flamingowheel_standin::platform::raw::{Answer, Ending, Framing, RawServer};
use std::net::SocketAddr;

async fn get(entry: SocketAddr) -> Result<u64, ClientError> {
    let Ok(Invocation::Run(typed)) = parse(vec!["status".into()]) else { panic!("a command") };
    let config = Config::new(*typed, &environment(&[entry])).expect("a configuration");
    Client::new(vec![entry], config.token, config.timeout).get("/number").await
}

// An answer without length or chunks is cut by the end of its entry. Some documents are valid in any
// length, so that parsing them notices nothing.
#[tokio::test]
async fn get_answer_cut_by_end_of_entry() {
    let whole = Answer::whole(Framing::Connection, b"1200".to_vec());
    let cut_bytes = Some(whole.encoded_bytes("") - 2);
    let cut = Answer { cut_bytes, ending: Ending::Closed, ends_server: true, ..whole.clone() };
    let entry = RawServer::start(move |_| cut.clone()).await.expect("a server");
    assert!(matches!(get(entry.address).await, Err(ClientError::NoAnswer { .. })));
    let entry = RawServer::start(move |_| whole.clone()).await.expect("a server");
    assert_eq!(get(entry.address).await.expect("an answer"), 1_200);
}

//! Answers that entries keep or get from agents.

use bytes::Bytes;
use flamingowheel_entry::http::answer::{ResponseMeta, archived_response};
use flamingowheel_policy::key::Fingerprint;
use flamingowheel_protocol::archive::ArchivedAnswer;
use flamingowheel_protocol::id::RequestId;
use uuid::Uuid;

/// An earlier agent has stored an answer whose status is none. The caller must not get it as a
/// complete answer.
#[test]
fn archived_response_without_status() {
    for status in [0, 42, 101, 199, 600, 999, u16::MAX] {
        let answer = ArchivedAnswer {
            number: Uuid::nil(),
            fingerprint: Fingerprint(1),
            status,
            content_type: "text/plain".to_owned(),
            body: Bytes::from_static(b"none"),
        };
        let meta = ResponseMeta { request: RequestId(Uuid::nil()), ticket: None, resumable: false };
        let response = archived_response(answer, &meta);
        assert_eq!(response.status(), 502, "{status}");
        assert_eq!(response.headers()["flamingowheel-outcome"], "unknown", "{status}");
    }
}

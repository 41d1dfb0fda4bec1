//! The decoders of internal frames, and valid sample batches.

use bytes::Bytes;
use flamingowheel_config::bucket::Bucket;
use flamingowheel_config::change::Change;
use flamingowheel_protocol::archive::{self, ArchivedAnswer, Seal};
use flamingowheel_protocol::auth::{Opening, Proof, Reply};
use flamingowheel_protocol::codec::{decode, encode};
use flamingowheel_protocol::id::{
    AttemptId, ExecutionKey, Fingerprint, Incarnation, RequestId, Window,
};
use flamingowheel_protocol::message::{AgentMessage, Dispatch, EntryMessage, Failure, Serves};
use flamingowheel_protocol::peer::{
    AgentRecord, Heartbeat, MemberRecord, MemberState, MembershipUpdate, PeerAnswer, PeerFrame,
    PeerRequest, Sender, StoredValue,
};

/// Ticket number in the archive.
const NUMBER: uuid::Uuid = uuid::Uuid::from_u128(9);

/// Runs every decoder of internal frames and of stored values.
pub fn decode_all(bytes: &[u8]) {
    let _ = decode::<EntryMessage>(bytes);
    let _ = decode::<AgentMessage>(bytes);
    let _ = decode::<Opening>(bytes);
    let _ = decode::<Reply>(bytes);
    let _ = decode::<Proof>(bytes);
    let _ = decode::<PeerFrame>(bytes);
    let _ = archive::lookup(Some(bytes), None, NUMBER, Window(3));
    let _ = archive::lookup(None, Some(bytes), NUMBER, Window(3));
    let _ = serde_json::from_slice::<Change>(bytes);
    let _ = serde_json::from_slice::<Bucket>(bytes);
}

fn attempt() -> AttemptId {
    AttemptId { request: RequestId(uuid::Uuid::from_u128(7)), number: 1 }
}

/// Valid encoded batches for tests to change.
pub fn samples() -> Vec<Vec<u8>> {
    let key = ExecutionKey::Ticket { number: uuid::Uuid::from_u128(9), window: Window(3) };
    let cancel = EntryMessage::Cancel {
        attempt: attempt(),
        key,
        incarnation: Incarnation(5),
        window: Window(3),
        void_ticket: true,
    };
    let acknowledge = EntryMessage::Acknowledge { attempt: attempt(), key, next_chunk: 64 };
    let chunk = AgentMessage::Chunk {
        attempt: attempt(),
        number: 3,
        data: Bytes::from_static(b"data: lamp\n\n"),
        occupancy: Default::default(),
    };
    let failed = AgentMessage::Failed {
        attempt: attempt(),
        failure: Failure::BackendLost,
        occupancy: Default::default(),
    };
    vec![
        encode(1, &[cancel, acknowledge]).unwrap(),
        encode(2, &[chunk, failed]).unwrap(),
        encode(3, &[EntryMessage::Dispatch(Box::new(dispatch()))]).unwrap(),
        encode(4, &peer_frames()).unwrap(),
        archive::encode(&[archived()]).to_vec(),
        archive::encode(&Seal { buckets: vec![9], ..Seal::default() }).to_vec(),
    ]
}

fn dispatch() -> Dispatch {
    Dispatch {
        attempt: attempt(),
        key: ExecutionKey::Attempt(attempt()),
        incarnation: Incarnation(5),
        window: Window(3),
        workspace: "bibb-county".to_owned(),
        method: "POST".to_owned(),
        path: "/orders".to_owned(),
        content_type: Some("text/plain".to_owned()),
        body: Bytes::from_static(b"work 1"),
        idempotent: false,
        priority: 1,
        remaining_ms: 9_000,
        fingerprint: Fingerprint(7),
        alone: false,
        last_try: true,
        resume_after_chunks: 0,
    }
}

fn peer_frames() -> [PeerFrame; 2] {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let record = MemberRecord {
        name: "entry-1".to_owned(),
        vm: "vm-1".to_owned(),
        data_centre: "a".to_owned(),
        region: "region".to_owned(),
        inner: address,
        callers: address,
        operators: address,
        incarnation: Incarnation(5),
        version: 1,
        state: MemberState::Live,
    };
    let agents = vec![AgentRecord {
        name: "orders-1".to_owned(),
        address,
        data_centre: "a".to_owned(),
        serves: Serves::Service { service: "orders".to_owned() },
        experts: None,
        incarnation: Incarnation(6),
        version: 1,
        state: MemberState::Live,
    }];
    let heartbeat = Heartbeat {
        from: Sender { name: "entry-1".to_owned(), incarnation: Incarnation(5) },
        revision: 3,
        after: 2,
        hold_ms: 1_000,
        updates: MembershipUpdate {
            records: vec![record],
            leaving_vms: vec!["vm-2".to_owned()],
            agents,
        },
        agent_digests: vec![1, 2],
    };
    let request = PeerRequest::Heartbeat(Box::new(heartbeat));
    let answer = PeerAnswer::Changes(vec![StoredValue(b"{}".to_vec())]);
    [PeerFrame::Request { number: 1, request }, PeerFrame::Answer { number: 1, answer }]
}

fn archived() -> ArchivedAnswer {
    ArchivedAnswer {
        number: NUMBER,
        fingerprint: Fingerprint(7),
        status: 200,
        content_type: "text/plain".to_owned(),
        body: Bytes::from_static(b"done"),
    }
}

//! The decoders of inner frames, and valid batches to start from.

use bytes::Bytes;
use flamingowheel_protocol::auth::{Opening, Proof, Reply};
use flamingowheel_protocol::codec::{decode, encode};
use flamingowheel_protocol::id::{AttemptId, ExecutionKey, Incarnation, RequestId, Window};
use flamingowheel_protocol::message::{AgentMessage, EntryMessage, Failure};

/// Tries every decoder of inner frames.
pub fn decode_all(bytes: &[u8]) {
    let _ = decode::<EntryMessage>(bytes);
    let _ = decode::<AgentMessage>(bytes);
    let _ = decode::<Opening>(bytes);
    let _ = decode::<Reply>(bytes);
    let _ = decode::<Proof>(bytes);
}

fn attempt() -> AttemptId {
    AttemptId { request: RequestId(uuid::Uuid::from_u128(7)), number: 1 }
}

/// Valid batches to start from.
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
    vec![encode(1, &[cancel, acknowledge]).unwrap(), encode(2, &[chunk, failed]).unwrap()]
}

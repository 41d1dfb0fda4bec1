//! Size and codec time of single messages.

use bytes::Bytes;
use flamingowheel_policy::key::Fingerprint;
use flamingowheel_protocol::codec::{decode, encode};
use flamingowheel_protocol::id::{AttemptId, ExecutionKey, Incarnation, RequestId, Window};
use flamingowheel_protocol::message::{AgentMessage, Dispatch, EntryMessage, Load};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::membership::member;
use crate::{Failure, cpu_us_each, print};

pub fn through_codec<M>(message: M) -> Result<(M, usize), Failure>
where
    M: Serialize + DeserializeOwned,
{
    let bytes = encode(1 << 60, std::slice::from_ref(&message))?;
    let (_, mut batch) = decode::<M>(&bytes)?;
    Ok((batch.pop().ok_or("empty batch")?, bytes.len()))
}

pub fn heartbeat_message() -> AgentMessage {
    let load = Load { running: 7, waiting: 1, places: 8, service_ms: 2_000 };
    AgentMessage::Heartbeat { load, window: Window(300), leaving: false, backend_up: true }
}

pub fn measure() -> Result<(), Failure> {
    let attempt = AttemptId { request: RequestId::fresh(), number: 1 };
    let key = ExecutionKey::Attempt(attempt);
    let load = Load { running: 7, waiting: 1, places: 8, service_ms: 2_000 };
    let dispatch = EntryMessage::Dispatch(Box::new(Dispatch {
        attempt,
        key,
        incarnation: Incarnation::fresh(),
        window: Window(300),
        workspace: "workspace-00001".to_owned(),
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        content_type: Some("application/json".to_owned()),
        body: Bytes::from(vec![b'x'; 1_024]),
        idempotent: true,
        priority: 5,
        remaining_ms: 60_000,
        fingerprint: Fingerprint(u128::MAX / 3),
        alone: false,
        last_try: false,
        resume_after_chunks: 0,
    }));
    one_message("dispatch_with_body_of_1024", &dispatch)?;
    one_message("accepted", &AgentMessage::Accepted { attempt, load })?;
    let data = Bytes::from(vec![b'x'; 200]);
    let occupancy = load.into();
    one_message("chunk_of_200", &AgentMessage::Chunk { attempt, number: 99, data, occupancy })?;
    one_message("end", &AgentMessage::End { attempt, chunk_count: 223, occupancy })?;
    one_message("acknowledge", &EntryMessage::Acknowledge { attempt, key, next_chunk: 64 })?;
    one_message("agent_heartbeat", &heartbeat_message())?;
    one_message("member_record", &member(1))?;
    print("empty_batch_bytes", encode::<AgentMessage>(1 << 60, &[])?.len() as f64);
    Ok(())
}

fn one_message<M>(name: &str, message: &M) -> Result<(), Failure>
where
    M: Serialize + DeserializeOwned,
{
    let bytes = encode(1 << 60, std::slice::from_ref(message))?;
    print(&format!("{name}_bytes"), bytes.len() as f64);
    let both_us = cpu_us_each(1_000, |_| {
        let bytes = encode(1 << 60, std::slice::from_ref(message)).unwrap_or_default();
        std::hint::black_box(decode::<M>(&bytes).is_ok());
    })?;
    print(&format!("{name}_codec_cpu_us"), both_us);
    Ok(())
}

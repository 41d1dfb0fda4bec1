//! Links between entry and agents, and the agent's records.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flamingowheel_agent::config::AgentConfig;
use flamingowheel_agent::execution::{Ending, Execution, ExecutionSpec};
use flamingowheel_agent::records::Records;
use flamingowheel_agent::stored::StoredBytes;
use flamingowheel_policy::key::Fingerprint;
use flamingowheel_protocol::auth::FleetKey;
use flamingowheel_protocol::id::{ExecutionKey, Incarnation};
use flamingowheel_protocol::link::{Link, LinkOptions};
use flamingowheel_protocol::message::{
    AgentMessage, BackendProfile, EntryMessage, Hello, Role, Serves,
};
use flamingowheel_protocol::websocket::{Identity, accept, connect};
use stats_alloc::Region;
use tokio::net::TcpListener;
use uuid::Uuid;

use crate::wire::heartbeat_message;
use crate::{ALLOCATOR, Failure, live_bytes, print, thread_cpu_ns};

pub async fn measure() -> Result<(), Failure> {
    links().await?;
    records().await
}

fn profile() -> BackendProfile {
    let serves =
        Serves::Model { model: "model-1".to_owned(), group: "group-17".to_owned(), rank: 3 };
    BackendProfile { serves, places: 8, can_resume: true, experts: None }
}

fn identity(name: &str, role: Role) -> Identity {
    let hello = Hello {
        name: name.to_owned(),
        incarnation: Incarnation::fresh(),
        vm: format!("vm-{name}"),
        data_centre: "data-centre-1".to_owned(),
        operators: None,
        role,
    };
    Identity { hello, key: FleetKey::new([7; 32]), link_options: LinkOptions::default() }
}

type EntryEnd = Link<EntryMessage, AgentMessage>;
type AgentEnd = Link<AgentMessage, EntryMessage>;

/// Measures idle links between one entry and agents over loopback, both ends in this thread. The
/// agents' ends send a heartbeat with their load once a second, as an idle agent does.
async fn links() -> Result<(), Failure> {
    const FEW: usize = 20;
    const MANY: usize = 220;
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let few = open_links(&listener, FEW).await?;
    let region = Region::new(ALLOCATOR);
    let more = open_links(&listener, MANY - FEW).await?;
    print("link_bytes_both_ends", live_bytes(&region) / (MANY - FEW) as f64);
    let links: Vec<(EntryEnd, AgentEnd)> = few.into_iter().chain(more).collect();
    let mut tick = tokio::time::interval(Duration::from_secs(1));
    tick.tick().await;
    let before = thread_cpu_ns()?;
    const SECONDS: usize = 6;
    for _ in 0..SECONDS {
        tick.tick().await;
        for (_, agent) in &links {
            agent.sender.try_send(heartbeat_message())?;
        }
    }
    let cpu_us = (thread_cpu_ns()? - before) / 1_000.0;
    let alive = links.iter().filter(|(entry, _)| !entry.sender.is_closed()).count();
    assert_eq!(alive, MANY);
    print("link_idle_cpu_us_per_s_both_ends", cpu_us / (MANY * SECONDS) as f64);
    Ok(())
}

async fn open_links(
    listener: &TcpListener,
    count: usize,
) -> Result<Vec<(EntryEnd, AgentEnd)>, Failure> {
    let address = listener.local_addr()?;
    let mut links = Vec::with_capacity(count);
    for number in 0..count {
        let entry = identity("entry-001", Role::Entry);
        let agent = identity(&format!("server-{number:04}"), Role::Agent(profile()));
        let accepting = async {
            let (stream, _) = listener.accept().await?;
            Ok::<_, Failure>(accept(stream, &agent).await?)
        };
        let opening = async { Ok::<_, Failure>(connect(address, &entry).await?) };
        links.push(tokio::try_join!(opening, accepting)?);
    }
    Ok(links)
}

/// Measures records of finished work that a resend under a ticket may still need.
async fn records() -> Result<(), Failure> {
    const FEW: usize = 1_000;
    const MANY: usize = 20_000;
    for answer_bytes in [0, 4_096] {
        let few = fill_records(FEW, answer_bytes).await?;
        let many = fill_records(MANY, answer_bytes).await?;
        let each = (many - few) / (MANY - FEW) as f64;
        print(&format!("record_bytes_per_ticket_with_answer_of_{answer_bytes}"), each);
    }
    Ok(())
}

async fn fill_records(count: usize, answer_bytes: usize) -> Result<f64, Failure> {
    let config = AgentConfig {
        max_ticket_records: count,
        ..AgentConfig::new("server-1", "data-centre-1", profile())
    };
    let region = Region::new(ALLOCATOR);
    let mut records = Records::new(&config);
    for number in 0..count {
        let execution = Arc::new(Execution::new(
            ExecutionSpec {
                fingerprint: Fingerprint(number as u128),
                idempotent: false,
                max_replay_bytes: config.max_replay_bytes,
                can_resume: false,
                first_chunk: 0,
            },
            StoredBytes::default(),
        ));
        execution.set_head(200, "application/json".to_owned());
        if answer_bytes > 0 {
            execution.push(Bytes::from(vec![b'x'; answer_bytes])).await?;
        }
        execution.finish(Ending::Complete);
        let key = ExecutionKey::Ticket { number: Uuid::now_v7(), window: records.window() };
        records.insert(key, execution)?;
    }
    Ok(live_bytes(&region))
}

//! The membership table of entries and its heartbeats.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use flamingowheel_control::duties::Duties;
use flamingowheel_control::membership::Table;
use flamingowheel_control::node::{Node, SentHeartbeat};
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_protocol::id::Incarnation;
use flamingowheel_protocol::peer::{
    MemberRecord, MemberState, MembershipUpdate, PeerAnswer, PeerRequest,
};
use stats_alloc::Region;
use tokio::time::Instant;

use crate::wire::through_codec;
use crate::{
    ALLOCATOR, ENTRIES, Failure, SIZE_DIVISOR, cpu_us_each, live_bytes, print, thread_cpu_ns,
};

pub fn member(number: usize) -> MemberRecord {
    let address = |port| SocketAddr::from((Ipv4Addr::new(10, 0, 1, number as u8), port));
    MemberRecord {
        name: format!("entry-{number:03}"),
        vm: format!("vm-entry-{number:03}"),
        data_centre: format!("data-centre-{}", number % 5),
        region: format!("region-{}", number % 2),
        inner: address(7_000),
        callers: address(8_000),
        operators: address(9_000),
        incarnation: Incarnation(number as u64 + 1),
        version: 1,
        state: MemberState::Live,
    }
}

/// A node whose membership table has `count` entries.
async fn node_of(own_number: usize, count: usize) -> Node {
    let node = Node::new(member(own_number), Recorder::for_tests("entry"));
    let others = Node::new(member(count), Recorder::for_tests("other"));
    let records: Vec<MemberRecord> =
        (0..count).filter(|number| *number != own_number).map(member).collect();
    let update = MembershipUpdate { records, ..MembershipUpdate::default() };
    let mut heartbeat = others.heartbeat(None, Duration::ZERO);
    heartbeat.updates = update;
    node.answer(PeerRequest::Heartbeat(Box::new(heartbeat))).await;
    node
}

pub async fn measure() -> Result<(), Failure> {
    let (_few, few_bytes) = {
        let region = Region::new(ALLOCATOR);
        let node = node_of(0, ENTRIES / SIZE_DIVISOR).await;
        (node, live_bytes(&region))
    };
    let region = Region::new(ALLOCATOR);
    let parent = node_of(0, ENTRIES).await;
    let slope = (live_bytes(&region) - few_bytes) / (ENTRIES - ENTRIES / SIZE_DIVISOR) as f64;
    print("membership_bytes_per_entry", slope);
    let child = node_of(1, ENTRIES).await;
    let mut wire = (0, 0);
    for _ in 0..3 {
        wire = heartbeat(&child, &parent).await?;
    }
    print("membership_heartbeat_bytes", wire.0 as f64);
    print("membership_answer_bytes", wire.1 as f64);
    const ROUNDS: u32 = 20_000;
    let before = thread_cpu_ns()?;
    for _ in 0..ROUNDS {
        heartbeat(&child, &parent).await?;
    }
    let both_ends = (thread_cpu_ns()? - before) / 1_000.0 / f64::from(ROUNDS);
    print("membership_heartbeat_cpu_us_both_ends", both_ends);
    let mut table = Table::new(member(1), Instant::now());
    let update = MembershipUpdate {
        records: (0..ENTRIES).map(member).collect(),
        ..MembershipUpdate::default()
    };
    table.merge(update, Instant::now());
    let duties_us = cpu_us_each(200, |_| drop(std::hint::black_box(Duties::new(&table))))?;
    print("membership_duties_cpu_us_per_change_of_members", duties_us);
    let links = |own_number: usize| -> usize {
        let update = MembershipUpdate {
            records: (0..ENTRIES).map(member).collect(),
            ..MembershipUpdate::default()
        };
        let mut table = Table::new(member(own_number), Instant::now());
        table.merge(update, Instant::now());
        let duties = Duties::new(&table);
        duties.poll_targets.len() + duties.pollers.len()
    };
    let links: Vec<usize> = (0..ENTRIES).map(links).collect();
    print("membership_links_per_entry_mean", links.iter().sum::<usize>() as f64 / ENTRIES as f64);
    print("membership_links_per_entry_max", links.iter().copied().max().unwrap_or(0) as f64);
    Ok(())
}

/// One heartbeat and its answer, encoded and decoded; returns the bytes of both.
async fn heartbeat(child: &Node, parent: &Node) -> Result<(usize, usize), Failure> {
    let sent = SentHeartbeat { table_version: child.table_version(), sent_at: Instant::now() };
    let name = parent.own_record().name;
    let request = PeerRequest::Heartbeat(Box::new(child.heartbeat(Some(&name), Duration::ZERO)));
    let (request, request_bytes) = through_codec(request)?;
    let (answer, answer_bytes) = through_codec(parent.answer(request).await)?;
    let PeerAnswer::Heartbeat(answer) = answer else { return Err("no heartbeat".into()) };
    child.apply_heartbeat_answer(*answer, sent);
    Ok((request_bytes, answer_bytes))
}

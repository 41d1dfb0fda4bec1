//! The directory of agents, and the VM list from which agents are discovered.

use flamingowheel_backing::vm::{Vm, VmState};
use flamingowheel_control::directory::Directory;
use flamingowheel_protocol::codec::encode;
use flamingowheel_protocol::id::Incarnation;
use flamingowheel_protocol::message::Serves;
use flamingowheel_protocol::peer::{AgentRecord, MemberState, MembershipUpdate};
use std::net::{Ipv4Addr, SocketAddr};
use tokio::time::Instant;

use crate::{ENTRIES, Failure, SERVERS, bytes_each, cpu_us_each, print};

fn ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, (number / 250) as u8, (number % 250) as u8)
}

fn agent(number: usize) -> AgentRecord {
    AgentRecord {
        name: format!("server-{number:04}"),
        address: SocketAddr::from((ip(number), 7_400)),
        data_centre: format!("data-centre-{}", number % 5),
        serves: Serves::Model {
            model: format!("model-{}", number % 14),
            group: format!("group-{}", number / 32),
            rank: (number % 32) as u16,
        },
        experts: None,
        incarnation: Incarnation(u64::MAX - number as u64),
        version: 1,
        state: MemberState::Live,
    }
}

fn directory(count: usize) -> Directory {
    let (mut directory, now) = (Directory::default(), Instant::now());
    for number in 0..count {
        directory.merge(agent(number), 1 + number as u64, now);
    }
    directory
}

fn update_bytes(agents: Vec<AgentRecord>) -> Result<usize, Failure> {
    Ok(encode(0, &[MembershipUpdate { agents, ..MembershipUpdate::default() }])?.len())
}

pub fn measure() -> Result<(), Failure> {
    print("directory_bytes_per_agent", bytes_each(SERVERS, directory));
    let directory = directory(SERVERS);
    let all = directory.changed_after(0);
    let one = update_bytes(all[..1].to_vec())?;
    print("directory_record_wire_bytes", (update_bytes(all[..2].to_vec())? - one) as f64);
    print("directory_whole_wire_bytes", update_bytes(all)? as f64);
    print("directory_digests_wire_bytes", encode(0, directory.digests())?.len() as f64);
    let mut other = directory.clone();
    let changed = AgentRecord { version: 2, ..agent(17) };
    other.merge(changed, SERVERS as u64 + 1, Instant::now());
    let parts = directory.differing_parts(other.digests());
    print("directory_part_wire_bytes", update_bytes(other.records_in_parts(&parts))? as f64);
    let compare_us = cpu_us_each(200, |_| {
        std::hint::black_box(
            directory.records_in_parts(&directory.differing_parts(other.digests())),
        );
    })?;
    print("directory_compare_cpu_us", compare_us);
    let vm = |number: usize| Vm {
        name: format!("vm-{number:06}"),
        ip: ip(number).into(),
        data_centre: format!("data-centre-{}", number % 5),
        state: VmState::Live,
    };
    let vms: Vec<Vm> = (0..ENTRIES + SERVERS).map(vm).collect();
    let list = serde_json::to_vec(&vms)?;
    print("vm_list_bytes", list.len() as f64);
    let read_us = cpu_us_each(5, |_| {
        let read: Result<Vec<Vm>, _> = serde_json::from_slice(&list);
        let _ = std::hint::black_box(read);
    })?;
    print("vm_list_read_cpu_us", read_us);
    Ok(())
}

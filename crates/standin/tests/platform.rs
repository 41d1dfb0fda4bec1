//! The VM list and the weight store over loopback.

use flamingowheel_backing::client::{HttpLimits, HttpVmList, HttpWeightStore};
use flamingowheel_backing::fake::{FakeVmList, FakeWeightStore};
use flamingowheel_backing::vm::{Vm, VmList, VmListError, VmState};
use flamingowheel_backing::weights::{WeightStore, WeightStoreError};
use flamingowheel_standin::{Connections, vms, weights};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

#[tokio::test]
async fn list_over_http() {
    let vm = Vm {
        name: "runner-1".to_owned(),
        ip: "10.0.0.7".parse().unwrap(),
        data_centre: "a".to_owned(),
        state: VmState::Leaving,
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let authority = listener.local_addr().unwrap().to_string().parse().unwrap();
    let fake = FakeVmList::new(vec![vm.clone()]);
    let stop = CancellationToken::new();
    let _guard = stop.clone().drop_guard();
    tokio::spawn(vms::serve(listener, fake.clone(), Connections::default(), stop));
    let client = HttpVmList::new(authority, HttpLimits::default());
    assert_eq!(client.list().await, Ok(vec![vm]));
    fake.set_down(true);
    assert_eq!(client.list().await, Err(VmListError::Unreachable));
}

#[tokio::test]
async fn read_weights_over_http() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let authority = listener.local_addr().unwrap().to_string().parse().unwrap();
    let fake = FakeWeightStore::new(1, 1000);
    let stop = CancellationToken::new();
    let _guard = stop.clone().drop_guard();
    tokio::spawn(weights::serve(listener, fake.clone(), Connections::default(), stop));
    let client = HttpWeightStore::new(authority, HttpLimits::default());
    assert_eq!(client.read("caption/v 3", 1000).await, Ok(()));
    let busy = client.read("caption/v 3", 1000).await;
    assert!(
        matches!(busy, Err(WeightStoreError::Busy { retry_after_ms }) if retry_after_ms > 900_000)
    );
    fake.set_down(true);
    assert_eq!(client.read("caption", 1).await, Err(WeightStoreError::Unreachable));
}

//! Runs an entry: one control thread and one traffic thread per core.

use crate::budget::RetryBudget;
use crate::capacity::{self, CapacityMonitor};
use crate::claims::ClaimKeeper;
use crate::feed::follower::StoreFollower;
use crate::feed::groups::GroupListener;
use crate::feed::mirror::Mirror;
use crate::feed::reader::Reader;
use crate::feed::transport::WebSocketConnector;
use crate::feed::{self, server};
use crate::forward::Gateway;
use crate::front::{self, Stop};
use crate::held::Held;
use crate::info::{self, DIRECTORY_TTL_MS, Info};
use crate::losses::LossRecorder;
use crate::member::Announcement;
use crate::metrics::Metrics;
use crate::permits::{self, PermitExchange};
use crate::publish::{Outputs, Publisher};
use crate::suspects::exchange::SuspectExchange;
use crate::suspects::{Suspects, archive};
use crate::view::{EntryRecord, Views};
use crate::warmth::{ColdBounds, EntryTenure};
use flamingowheel_fleet::ProcessSettings;
use flamingowheel_platform::StoreClient;
use flamingowheel_policy::quota::Allowance;
use flamingowheel_protocol::message::Role;
use flamingowheel_protocol::websocket::{Identity, accept_links};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

/// Part of the grace period that is reserved for the process to exit by itself before it is killed.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(300);

/// Requests in progress are ended no earlier than in this last share of the grace period.
const CUT_SHARE: f64 = 1.0 / 6.0;

/// Share of the time after that within which callers' connections are to end. The rest is for the last
/// log lines.
const CALLERS_SHARE: f64 = 0.5;

/// Stack size of a traffic thread, in bytes. Futures are on the heap; the stack holds a single
/// poll.
const STACK_BYTES: usize = 512 * 1024;

/// Why an entry can't run.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings lack an address that an entry needs.
    #[error("settings have no address for {0}")]
    NoAddress(&'static str),
    /// The store's address is no valid URI authority.
    #[error("store's address: {0}")]
    Store(#[from] http::uri::InvalidUri),
    /// A listener or a thread can't be started.
    #[error("can't listen or start: {0}")]
    Io(#[from] std::io::Error),
    /// The metrics can't be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Runs an entry until `shutdown` resolves, then waits up to the grace period for requests in
/// progress.
pub async fn run<F>(settings: &ProcessSettings, shutdown: F) -> Result<(), StartError>
where
    F: Future<Output = ()>,
{
    let callers = settings.callers.ok_or(StartError::NoAddress("callers"))?;
    let readiness = settings.readiness.ok_or(StartError::NoAddress("readiness"))?;
    let directory = settings.directory.ok_or(StartError::NoAddress("the directory"))?;
    let store = StoreClient::new(settings.key_value)?;
    let views = Views::default();
    let metrics = Arc::new(Metrics::new()?);
    let stop = Stop::default();
    let peers = SocketAddr::new(settings.ip, settings.internal_ports.0);
    let (permit_sender, permit_requests) = permits::channel();
    let tenure = Arc::new(EntryTenure::new(&settings.vm));
    let exchange = PermitExchange::new(
        settings.vm.clone(),
        Arc::clone(&views),
        UdpSocket::bind(peers).await?,
        permit_requests,
        Arc::clone(&metrics),
    )
    .with_tenure(Arc::clone(&tenure));
    tokio::spawn(exchange.run());
    let suspects = Arc::new(Suspects::new(Arc::clone(&metrics)));
    let suspects_address = SocketAddr::new(settings.ip, settings.internal_ports.1);
    let exchange = SuspectExchange::new(
        settings.vm.clone(),
        Arc::clone(&views),
        UdpSocket::bind(suspects_address).await?,
        Arc::clone(&suspects),
    );
    tokio::spawn(exchange.run());
    let (archive, archived) = archive::channel();
    tokio::spawn(archive::run(store.clone(), archived));
    let (loss_views, loss_suspects) = (Arc::clone(&views), Arc::clone(&suspects));
    let losses = LossRecorder::new(loss_views, loss_suspects, archive, Arc::clone(&metrics));

    let budget = Arc::new(RetryBudget::new(allowance(settings), &settings.vm));
    let gateway = Gateway::new(
        Arc::clone(&views),
        Arc::clone(&budget),
        permit_sender,
        Arc::clone(&suspects),
        losses,
        Arc::clone(&metrics),
    );
    let held = Held::new(settings.memory_bytes, settings.max_descriptors);
    let gateway = Arc::new(gateway.with_held(Arc::clone(&held)).with_stop(stop.clone()));
    let (traffic, threads) = start_traffic(callers, &gateway, &stop)?;

    let mirror = Arc::new(Mirror::default());
    let info = Info {
        views: Arc::clone(&views),
        callers,
        leaving: stop.leaving.clone(),
        mirror: Arc::clone(&mirror),
        metrics: Arc::clone(&metrics),
        suspects: Arc::clone(&suspects),
    };
    serve_info(readiness, info::readiness(info.clone())).await?;
    serve_info(directory, info::directory(info)).await?;
    let (monitor_views, monitor_metrics) = (Arc::clone(&views), Arc::clone(&metrics));
    let monitor = move |threads, held, announced| CapacityMonitor {
        threads,
        held,
        views: monitor_views,
        announced,
        metrics: monitor_metrics,
    };
    start_feed(
        settings,
        peers,
        &store,
        Feed { mirror, views, suspects, budget: Arc::clone(&budget), metrics, tenure },
    )
    .await?;
    let data_centre = settings.data_centre.clone();
    let initial = capacity::initial(settings);
    let (announced, capacity) = watch::channel(Some(initial));
    tokio::spawn(monitor(threads, held, announced).run(initial));
    tokio::spawn(ClaimKeeper::new(store.clone(), &settings.vm, Arc::clone(&budget)).run());
    let announcement = Announcement {
        store,
        vm: settings.vm.clone(),
        record: EntryRecord {
            callers,
            data_centre,
            peers: Some(peers),
            suspects: Some(suspects_address),
            capacity: Some(initial),
        },
        min_ttl: Duration::from_millis(settings.min_lease_ttl_ms),
        capacity,
    };
    let announced = tokio::spawn(announcement.run(stop.leaving.clone()));

    shutdown.await;
    tracing::info!("leaving");
    budget.leave();
    let grace = Duration::from_millis(settings.bounds.grace_ms);
    let reserve = grace.mul_f64(CUT_SHARE).min(SHUTDOWN_RESERVE);
    let ends_at = Instant::now() + (grace - reserve);
    stop.begin(ends_at);
    let leaving = async {
        // Callers may cache the directory's answers this long and still connect until then.
        sleep(Duration::from_millis(DIRECTORY_TTL_MS)).await;
        stop.closing.cancel();
        let joined = tokio::task::spawn_blocking(move || {
            traffic.into_iter().filter_map(|thread| thread.join().err()).count()
        });
        if !matches!(joined.await, Ok(0)) {
            tracing::error!("a traffic thread panicked");
        }
        if let Err(error) = announced.await {
            tracing::error!(%error, "announcement task failed");
        }
    };
    tokio::pin!(leaving);
    if timeout_at(ends_at, &mut leaving).await.is_err() {
        tracing::warn!("grace period is over; requests in progress are aborted");
        stop.closing.cancel();
        stop.aborting.cancel();
        if timeout(reserve.mul_f64(CALLERS_SHARE), &mut leaving).await.is_err() {
            tracing::warn!("connections to callers are still open");
        }
    }
    gateway.open.end_all();
    Ok(())
}

/// What the feed updates.
struct Feed {
    mirror: Arc<Mirror>,
    views: Views,
    suspects: Arc<Suspects>,
    budget: Arc<RetryBudget>,
    metrics: Arc<Metrics>,
    tenure: Arc<EntryTenure>,
}

/// Starts the tasks that update the mirror from the store and from other entries, publish views and
/// serve the mirror to other entries.
async fn start_feed(
    settings: &ProcessSettings,
    address: SocketAddr,
    store: &StoreClient,
    feed: Feed,
) -> Result<(), std::io::Error> {
    let Feed { mirror, views, suspects, budget, metrics, tenure } = feed;
    let (members, members_receiver) = watch::channel(Arc::default());
    let (coordinators, coordinators_receiver) = watch::channel(Arc::default());
    let (statuses, statuses_receiver) = watch::channel(Arc::default());
    let (follows, should_follow) = watch::channel(false);
    let agent_port = settings.internal_ports.0;
    let outputs = Outputs {
        members,
        coordinators,
        statuses: statuses_receiver.clone(),
        agent_port,
        suspects,
        budget,
        metrics,
    };
    let (vm, data_centre) = (&settings.vm, &settings.data_centre);
    let identity = Identity::without_secret(vm, data_centre, Role::Entry, feed::TIMING);
    let listener = TcpListener::bind(address).await?;
    let served_mirror = Arc::clone(&mirror);
    let serve_link =
        move |link| server::serve(link, Arc::clone(&served_mirror), statuses_receiver.clone());
    let publisher = Publisher::new(Arc::clone(&mirror), views, outputs)
        .in_data_centre(&settings.data_centre)
        .with_regions(settings.regions.clone())
        .with_cold(ColdBounds::from(&settings.bounds), tenure);
    tokio::spawn(accept_links(listener, identity.clone(), CancellationToken::new(), serve_link));
    tokio::spawn(publisher.run());
    tokio::spawn(
        StoreFollower::new(store.clone(), Arc::clone(&mirror), should_follow.clone()).run(),
    );
    let groups = GroupListener::new(
        identity.clone(),
        coordinators_receiver,
        should_follow,
        statuses.clone(),
    );
    tokio::spawn(groups.run());
    let hello = identity.hello.clone();
    let connector = WebSocketConnector { identity };
    let reader = Reader::new(hello, connector, mirror, members_receiver, follows, statuses);
    tokio::spawn(reader.run());
    Ok(())
}

fn allowance(settings: &ProcessSettings) -> Allowance {
    Allowance {
        ratio: settings.bounds.retry_ratio,
        slack: settings.bounds.retry_slack,
        window: Duration::from_millis(settings.bounds.retry_window_ms),
    }
}

async fn serve_info(address: SocketAddr, router: axum::Router) -> Result<(), std::io::Error> {
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(async move {
        let router = router.into_make_service_with_connect_info::<SocketAddr>();
        if let Err(error) = axum::serve(listener, router).await {
            tracing::error!(%address, %error, "listener ended");
        }
    });
    Ok(())
}

type Threads = (Vec<std::thread::JoinHandle<()>>, Vec<tokio::runtime::Handle>);

fn start_traffic(
    address: SocketAddr,
    gateway: &Arc<Gateway>,
    stop: &Stop,
) -> Result<Threads, std::io::Error> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let count = std::thread::available_parallelism().map_or(1, usize::from);
    tracing::info!(count, "traffic threads started");
    let (mut threads, mut handles) = (Vec::new(), Vec::new());
    for number in 0..count {
        let listener = listener.try_clone()?;
        let (gateway, stop) = (Arc::clone(gateway), stop.clone());
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        handles.push(runtime.handle().clone());
        let thread = std::thread::Builder::new()
            .name("traffic".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                runtime.block_on(async {
                    match TcpListener::from_std(listener) {
                        Ok(listener) => front::serve(listener, gateway, stop).await,
                        Err(error) => tracing::error!(%error, "can't accept callers"),
                    }
                });
                tracing::info!(number, "traffic thread ended");
            })?;
        threads.push(thread);
    }
    Ok((threads, handles))
}

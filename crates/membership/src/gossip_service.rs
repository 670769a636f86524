//! Runs the gossip machine on a UDP socket.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, Weak},
    time::Duration,
};

use mux_model::{NodeIncarnation, RevisionNumber, TimePoint, UpstreamId};
use mux_timer::{TickStream, TimerService};
use slog::{Logger, info, warn};
use tokio::{
    net,
    sync::{mpsc, watch},
};

use crate::{
    CounterReading, GossipAction, GossipCounters, GossipError, GossipEvent, GossipMachine,
    GossipSettings, MemberRecord, MemberView, NodeIdentity, UpstreamDrainState,
    log_limiter::LogLimiter,
};

const TICK_PERIOD: Duration = Duration::from_millis(100);
const LOG_PERIOD: Duration = Duration::from_secs(10);
const WARNINGS_PER_PERIOD: u32 = 1;
const MEMBER_CHANGES_PER_PERIOD: u32 = 50;
const EVENT_CAPACITY: usize = 4_096;
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// Handle to a node's gossip protocol task.
///
/// Clones share one task, which ends when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct GossipService {
    state: Arc<ServiceState>,
}

#[derive(Debug)]
struct ServiceState {
    machine: Mutex<GossipMachine>,
    view: RwLock<Arc<MemberView>>,
    counters: GossipCounters,
    socket: UdpSocket,
    local: SocketAddr,
    /// Whether the node takes part in the membership.
    joined: watch::Sender<bool>,
    events: mpsc::Sender<GossipEvent>,
    timer: TimerService,
    logger: Logger,
    warning_limiter: Mutex<LogLimiter>,
    member_change_limiter: Mutex<LogLimiter>,
}

impl GossipService {
    /// Binds the peer address of `identity` and starts the background task, which neither reads
    /// nor answers messages before the first call of [`Self::join`].
    ///
    /// With a peer port of 0, the identity gets the port assigned by the system. The returned
    /// receiver yields the events for the rest of the node.
    ///
    /// # Errors
    ///
    /// Returns an error if the UDP socket cannot be bound.
    ///
    /// # Panics
    ///
    /// Panics if called outside a tokio runtime.
    pub fn start(
        settings: GossipSettings,
        mut identity: NodeIdentity,
        run: NodeIncarnation,
        timer: TimerService,
        logger: Logger,
    ) -> Result<(Self, mpsc::Receiver<GossipEvent>), GossipError> {
        let address = identity.peer;
        let (socket, receiver) =
            open_sockets(address).map_err(|source| GossipError::Bind { address, source })?;
        let local = receiver.local_addr().unwrap_or(address);
        identity.peer = local;
        info!(logger, "gossip: started at {}, run {}", local, run.0);
        let rng_seed = rand::random();
        let machine = GossipMachine::new(settings, identity, run, timer.now(), rng_seed);
        let (events, event_receiver) = mpsc::channel(EVENT_CAPACITY);
        let ticks = timer.subscribe(TICK_PERIOD);
        let joined = watch::Sender::new(false);
        let mut is_joined = joined.subscribe();
        let state = Arc::new(ServiceState {
            machine: Mutex::new(machine),
            view: RwLock::default(),
            counters: GossipCounters::default(),
            socket,
            local,
            joined,
            events,
            timer,
            logger,
            warning_limiter: Mutex::new(LogLimiter::new(LOG_PERIOD, WARNINGS_PER_PERIOD)),
            member_change_limiter: Mutex::new(LogLimiter::new(
                LOG_PERIOD,
                MEMBER_CHANGES_PER_PERIOD,
            )),
        });
        state.step(|_, _, _| ());
        let service = Arc::downgrade(&state);
        tokio::spawn(async move {
            // The sender is dropped with the last handle.
            if is_joined.wait_for(|it| *it).await.is_ok() {
                run_service(service, receiver, ticks).await;
            }
        });
        Ok((Self { state }, event_receiver))
    }

    /// Returns the local address of the UDP socket.
    pub fn local_address(&self) -> SocketAddr {
        self.state.local
    }

    /// Returns the current snapshot of the members.
    pub fn members(&self) -> Arc<MemberView> {
        let view = self.state.view.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&view)
    }

    /// Replaces the seed addresses and starts a sync with some of those that are not live members.
    ///
    /// The first call makes this node a member, to which others direct callers, so the listeners
    /// for callers have to be open by then.
    pub fn join(&self, seeds: &[SocketAddr]) {
        self.state.joined.send_replace(true);
        self.state.step(|machine, now, actions| machine.join(now, seeds, actions));
    }

    /// Announces a planned stop; the node stays a member until [`Self::announce_departure`].
    pub fn announce_leaving(&self) {
        self.state.step(GossipMachine::announce_leaving);
    }

    /// Announces that this node has left the cluster.
    pub fn announce_departure(&self) {
        self.state.step(GossipMachine::announce_departure);
    }

    /// Sets the revision that this node has applied.
    pub fn set_revision(&self, revision: RevisionNumber) {
        self.state.step(|machine, now, actions| machine.set_revision(now, revision, actions));
    }

    /// Announces a revision that this node has applied; the members acknowledge it to this node.
    pub fn announce_revision(&self, revision: RevisionNumber) {
        self.state.step(|machine, now, actions| machine.announce_revision(now, revision, actions));
    }

    /// Sets the number of queries in flight that this node reports to the members.
    pub fn set_load(&self, load: u16) {
        self.state.lock_machine().set_load(load);
    }

    /// Disseminates whether `upstream` is draining, unless its known drain state is the same.
    pub fn set_upstream_draining(&self, upstream: UpstreamId, draining: bool) {
        self.state.step(|machine, now, _| machine.set_upstream_draining(now, upstream, draining));
    }

    /// Returns the known drain states of upstreams.
    pub fn upstream_drain_states(&self) -> Vec<UpstreamDrainState> {
        self.state.lock_machine().upstream_drain_states()
    }

    /// Marks the membership as unverified after a pause of this process, and restarts the
    /// suspicion timeouts.
    pub fn on_pause(&self) {
        info!(
            self.state.logger,
            "gossip: this process was paused; its member list may be outdated until a member \
             answers a probe"
        );
        self.state.step(GossipMachine::on_pause);
    }

    /// Returns the records of all known members, including this node, for transfer over TCP.
    pub fn export(&self) -> Vec<MemberRecord> {
        self.state.lock_machine().export()
    }

    /// Merges records exported by another member.
    pub fn import(&self, records: &[MemberRecord]) {
        self.state.step(|machine, now, actions| machine.import(now, records, actions));
    }

    /// Returns the current traffic counters.
    pub fn counters(&self) -> CounterReading {
        let mut reading = self.state.counters.read();
        self.state.lock_machine().add_counts(&mut reading);
        reading
    }
}

impl ServiceState {
    /// Runs `operation` on the machine, publishes the member view and executes the actions.
    fn step(&self, operation: impl FnOnce(&mut GossipMachine, TimePoint, &mut Vec<GossipAction>)) {
        let mut actions = Vec::new();
        let mut machine = self.lock_machine();
        operation(&mut machine, self.timer.now(), &mut actions);
        self.publish(machine.members());
        drop(machine);
        for action in actions {
            self.execute(action);
        }
    }

    fn receive(&self, from: SocketAddr, bytes: &[u8]) {
        self.counters.count_received(bytes.len());
        self.step(|machine, now, actions| machine.on_datagram(now, from, bytes, actions));
    }

    fn lock_machine(&self) -> MutexGuard<'_, GossipMachine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish(&self, view: Arc<MemberView>) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = view;
    }

    fn execute(&self, action: GossipAction) {
        match action {
            GossipAction::Send { to, bytes } => self.send(to, &bytes),
            GossipAction::Event(event) => self.deliver_event(event),
        }
    }

    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        match self.socket.send_to(bytes, to) {
            Ok(len) => self.counters.count_sent(len),
            Err(error) => {
                self.counters.count_send_failure();
                self.log_warning(|logger| {
                    warn!(logger, "gossip: cannot send datagram to {}: {}", to, error);
                });
            }
        }
    }

    fn deliver_event(&self, event: GossipEvent) {
        self.log_event(&event);
        if self.events.try_send(event).is_err() {
            self.counters.count_event_dropped();
            self.log_warning(|logger| {
                warn!(logger, "gossip: event channel full or closed; event dropped")
            });
        }
    }

    fn log_event(&self, event: &GossipEvent) {
        match event {
            GossipEvent::MemberUp { member } => {
                self.log_member_change(|logger| {
                    info!(logger, "gossip: member {} is up", member.node())
                });
            }
            GossipEvent::MemberDown { member } => {
                self.log_member_change(|logger| {
                    info!(logger, "gossip: member {} failed or left", member.node())
                });
            }
            GossipEvent::MemberChanged { member } => {
                let (node, state) = (member.node(), member.state);
                self.log_member_change(|logger| {
                    info!(logger, "gossip: member {} is in state {:?}", node, state)
                });
            }
            GossipEvent::NameConflict { other } => {
                let peer = other.identity.peer;
                self.log_warning(|logger| {
                    warn!(logger, "gossip: another process at {} uses this node's name", peer);
                });
            }
            _ => {}
        }
    }

    /// Logs a member change, up to [`MEMBER_CHANGES_PER_PERIOD`] per [`LOG_PERIOD`].
    fn log_member_change(&self, log: impl FnOnce(&Logger)) {
        self.log_limited(&self.member_change_limiter, log);
    }

    /// Logs a warning, up to [`WARNINGS_PER_PERIOD`] per [`LOG_PERIOD`].
    fn log_warning(&self, log: impl FnOnce(&Logger)) {
        self.log_limited(&self.warning_limiter, log);
    }

    fn log_limited(&self, limiter: &Mutex<LogLimiter>, log: impl FnOnce(&Logger)) {
        let admitted =
            limiter.lock().unwrap_or_else(PoisonError::into_inner).admits(self.timer.now());
        if admitted {
            log(&self.logger);
        }
    }
}

/// Opens a non-blocking socket for sending and a second handle to it for the receiving task.
fn open_sockets(address: SocketAddr) -> io::Result<(UdpSocket, net::UdpSocket)> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    let receiver = net::UdpSocket::from_std(socket.try_clone()?)?;
    Ok((socket, receiver))
}

async fn run_service(state: Weak<ServiceState>, receiver: net::UdpSocket, mut ticks: TickStream) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        let received = tokio::select! {
            received = receiver.recv_from(&mut buffer) => Some(received),
            _ = ticks.next() => None,
        };
        let Some(state) = state.upgrade() else {
            return;
        };
        match received {
            None => state.step(GossipMachine::on_tick),
            Some(Ok((len, from))) => state.receive(from, &buffer[..len]),
            Some(Err(error)) => {
                state.log_warning(|logger| {
                    warn!(logger, "gossip: cannot receive datagram: {}", error)
                });
            }
        }
    }
}

//! RPC server for operators.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use mux_adapter::KvClient;
use mux_admin::{
    AuditRecord, ChangeReply, ChangeServiceRequest, DrainNodeReply, DrainNodeRequest,
    GetInForceRequest, GetServiceRequest, GetStatusRequest, InForce, ListServicesReply,
    ListServicesRequest, NodeStatus, ReadAuditReply, ReadAuditRequest, RemoveServiceRequest,
    ServiceEntry as WireService,
    operators_server::{Operators, OperatorsServer},
};
use mux_config::{
    ChangeAction, ChangeKind, ChangeOutcome, ChangeRecord, ConfigLoader, ConfigWriter,
    InForceTracker, ServiceChange, ServiceDefinition, ServiceEntry, read_audit,
};
use mux_model::{ChangeId, RevisionNumber, ServiceName};
use mux_timer::unix_millis;
use slog::{info, warn};
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status, transport::Server};

use super::change_reply;
use crate::Node;

const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(6);
const IN_FORCE_CHECK_PERIOD: Duration = Duration::from_millis(20);
const DEFAULT_AUDIT_LIMIT: usize = 100;
const MAX_AUDIT_LIMIT: usize = 1_000;

/// RPC server for operators.
pub(crate) struct OperatorServer {
    node: Arc<Node>,
    writer: ConfigWriter<KvClient>,
    loader: ConfigLoader<KvClient>,
}

impl OperatorServer {
    /// Creates a server for the operators of `node`.
    pub(crate) fn new(node: Arc<Node>) -> Self {
        let store = node.store().clone();
        let writer = ConfigWriter::new(store.clone(), node.timer().clone(), CHANGE_TIMEOUT);
        Self { node, writer, loader: ConfigLoader::new(store) }
    }

    /// Listens on `address` and serves until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be used.
    pub(crate) async fn listen(self, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        let server = Server::builder()
            .concurrency_limit_per_connection(64)
            .add_service(OperatorsServer::new(self));
        tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
        Ok(())
    }

    async fn change(&self, change: ServiceChange, dry_run: bool) -> ChangeReply {
        if dry_run {
            return match self.writer.preview(&change).await {
                Ok(preview) => change_reply::preview_reply(preview),
                Err(error) => change_reply::failure_reply(&error),
            };
        }
        let logger = self.node.logger();
        match self.writer.apply(&change, self.node.revision()).await {
            Ok(outcome) => {
                let record = outcome.record();
                info!(logger, "operator: change stored"; "change" => change.id.to_string(),
                    "operator" => &change.operator, "service" => change.service.to_string(),
                    "revision" => record.to.0);
                let already_done = matches!(outcome, ChangeOutcome::AlreadyDone(_));
                let tracker = self.roll_out_revision(record.to).await;
                change_reply::stored_reply(record.to, &tracker, already_done)
            }
            Err(error) => {
                warn!(logger, "operator: change failed: {}", error;
                    "change" => change.id.to_string(), "operator" => &change.operator);
                change_reply::failure_reply(&error)
            }
        }
    }

    /// Applies a stored revision at this node, announces it, and waits until all live nodes have it
    /// in force or [`IN_FORCE_TIMEOUT`] has passed.
    ///
    /// A failed load is ignored: the node then receives the revision from the configuration watch
    /// or from a peer.
    async fn roll_out_revision(&self, revision: RevisionNumber) -> InForceTracker {
        let sent_at = self.node.timer().now();
        if let Ok(loaded) = self.loader.load(&self.node.config()).await {
            self.node.on_store_contact(sent_at, loaded.revision);
            if let Some(update) = &loaded.update {
                self.node.apply_config_update(update);
            }
        }
        self.node.gossip().announce_revision(self.node.revision());
        let mut tracker = self.start_tracker(revision);
        let end = self.node.timer().now() + IN_FORCE_TIMEOUT;
        loop {
            self.update_tracker(&mut tracker);
            if tracker.is_done() || end <= self.node.timer().now() {
                return tracker;
            }
            self.node.timer().sleep(IN_FORCE_CHECK_PERIOD).await;
        }
    }

    fn start_tracker(&self, revision: RevisionNumber) -> InForceTracker {
        let members = self.node.gossip().members();
        InForceTracker::start(revision, members.members.iter().map(|it| it.node().clone()))
    }

    fn update_tracker(&self, tracker: &mut InForceTracker) {
        let members = self.node.gossip().members();
        let removed: Vec<_> =
            tracker.missing().filter(|it| members.get(it).is_none()).cloned().collect();
        for node in &removed {
            tracker.on_member_removed(node);
        }
        for member in &members.members {
            tracker.on_ack(member.node(), member.revision);
        }
        tracker.on_ack(self.node.name(), self.node.revision());
    }

    async fn put_service(
        &self,
        request: ChangeServiceRequest,
        expected: RevisionNumber,
    ) -> Result<Response<ChangeReply>, Status> {
        let definition: ServiceDefinition = serde_json::from_str(&request.definition_json)
            .map_err(|error| Status::invalid_argument(format!("definition_json: {error}")))?;
        let change = ServiceChange {
            id: ChangeId::from(request.change_id),
            operator: request.operator,
            at_ms: unix_millis(),
            service: definition.name.clone(),
            expected,
            action: ChangeAction::Put(Box::new(definition)),
        };
        Ok(Response::new(self.change(change, request.dry_run).await))
    }
}

#[tonic::async_trait]
impl Operators for OperatorServer {
    async fn create_service(
        &self,
        request: Request<ChangeServiceRequest>,
    ) -> Result<Response<ChangeReply>, Status> {
        let request = request.into_inner();
        if request.expected_revision != 0 {
            return Err(Status::invalid_argument(format!(
                "expected_revision is {}, but a new service has no revision; update the service, or \
                 leave expected_revision at 0",
                request.expected_revision
            )));
        }
        self.put_service(request, RevisionNumber::default()).await
    }

    async fn update_service(
        &self,
        request: Request<ChangeServiceRequest>,
    ) -> Result<Response<ChangeReply>, Status> {
        let request = request.into_inner();
        if request.expected_revision == 0 {
            return Err(Status::not_found(
                "expected_revision is 0, which stands for a service that does not exist; \
                 create the service, or give its revision",
            ));
        }
        let expected = RevisionNumber(request.expected_revision);
        self.put_service(request, expected).await
    }

    async fn remove_service(
        &self,
        request: Request<RemoveServiceRequest>,
    ) -> Result<Response<ChangeReply>, Status> {
        let request = request.into_inner();
        if request.expected_revision == 0 {
            return Err(Status::not_found("there is no such service, or no revision was given"));
        }
        let change = ServiceChange {
            id: ChangeId::from(request.change_id),
            operator: request.operator,
            at_ms: unix_millis(),
            service: ServiceName::from(request.name),
            expected: RevisionNumber(request.expected_revision),
            action: ChangeAction::Remove,
        };
        Ok(Response::new(self.change(change, request.dry_run).await))
    }

    async fn get_service(
        &self,
        request: Request<GetServiceRequest>,
    ) -> Result<Response<WireService>, Status> {
        let name = ServiceName::from(request.into_inner().name);
        let config = self.node.config();
        let Some(entry) = config.service(&name) else {
            return Err(Status::not_found(format!("there is no service {name}")));
        };
        Ok(Response::new(wire_service(entry)))
    }

    async fn list_services(
        &self,
        _: Request<ListServicesRequest>,
    ) -> Result<Response<ListServicesReply>, Status> {
        let config = self.node.config();
        let mut entries: Vec<_> = config.services().collect();
        entries.sort_unstable_by_key(|(name, _)| *name);
        let services = entries.into_iter().map(|(_, entry)| wire_service(entry)).collect();
        Ok(Response::new(ListServicesReply { services, revision: config.revision().0 }))
    }

    async fn read_audit(
        &self,
        request: Request<ReadAuditRequest>,
    ) -> Result<Response<ReadAuditReply>, Status> {
        let request = request.into_inner();
        let limit = match usize::try_from(request.limit).unwrap_or(MAX_AUDIT_LIMIT) {
            0 => DEFAULT_AUDIT_LIMIT,
            limit => limit.min(MAX_AUDIT_LIMIT),
        };
        let after = RevisionNumber(request.after_revision);
        let records = read_audit(self.node.store(), after, limit)
            .await
            .map_err(|error| Status::unavailable(format!("the audit trail: {error}")))?;
        Ok(Response::new(ReadAuditReply { records: records.iter().map(wire_record).collect() }))
    }

    async fn get_in_force(
        &self,
        request: Request<GetInForceRequest>,
    ) -> Result<Response<InForce>, Status> {
        let revision = match request.into_inner().revision {
            0 => self.node.revision(),
            revision => RevisionNumber(revision),
        };
        let mut tracker = self.start_tracker(revision);
        self.update_tracker(&mut tracker);
        Ok(Response::new(change_reply::in_force(&tracker)))
    }

    async fn get_status(
        &self,
        _: Request<GetStatusRequest>,
    ) -> Result<Response<NodeStatus>, Status> {
        Ok(Response::new(self.node.status()))
    }

    async fn drain_node(
        &self,
        request: Request<DrainNodeRequest>,
    ) -> Result<Response<DrainNodeReply>, Status> {
        let operator = request.into_inner().operator;
        info!(self.node.logger(), "operator: planned stop requested"; "operator" => operator);
        self.node.request_stop();
        let lifetime = self.node.max_address_lifetime().as_millis();
        let exits_after_ms = u64::try_from(lifetime).unwrap_or(u64::MAX);
        Ok(Response::new(DrainNodeReply { exits_after_ms }))
    }
}

fn wire_service(entry: &ServiceEntry) -> WireService {
    WireService { definition_json: entry.definition.to_json(), revision: entry.revision.0 }
}

fn wire_record(record: &ChangeRecord) -> AuditRecord {
    let kind = match record.kind {
        ChangeKind::Create => "create",
        ChangeKind::Update => "update",
        ChangeKind::Remove => "remove",
    };
    AuditRecord {
        change_id: record.change.to_string(),
        operator: record.operator.clone(),
        at_unix_ms: record.at_ms,
        kind: kind.to_owned(),
        service: record.service.to_string(),
        from_revision: record.from.0,
        to_revision: record.to.0,
        outcome: "accepted".to_owned(),
    }
}

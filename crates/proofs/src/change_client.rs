//! Client for service changes with explicit change IDs and expected revisions.

use std::net::SocketAddr;

use mux_admin::{
    AuditRecord, ChangeReply, ChangeServiceRequest, GetServiceRequest, ReadAuditRequest,
    RemoveServiceRequest, ServiceEntry, operators_client::OperatorsClient,
};
use serde_json::Value;
use tonic::{
    Response, Status,
    transport::{Channel, Endpoint},
};

/// Client that sends the changes of one operator to one node, each under a given change ID.
#[derive(Debug, Clone)]
pub struct ChangeClient {
    operator: String,
    client: OperatorsClient<Channel>,
}

impl ChangeClient {
    /// Creates a client for `operator` that connects to the node at `address` with its first call.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn new(address: SocketAddr, operator: &str) -> Self {
        let endpoint =
            Endpoint::try_from(format!("http://{address}")).expect("the address forms a valid URI");
        let client = OperatorsClient::new(endpoint.connect_lazy());
        Self { operator: operator.to_owned(), client }
    }

    /// Creates the service, or replaces it if `expected_revision` is not 0.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn put(
        &self,
        change_id: &str,
        definition: &Value,
        expected_revision: u64,
    ) -> Result<ChangeReply, Status> {
        let request = ChangeServiceRequest {
            definition_json: definition.to_string(),
            change_id: change_id.to_owned(),
            operator: self.operator.clone(),
            expected_revision,
            dry_run: false,
        };
        let mut client = self.client.clone();
        let reply = match expected_revision {
            0 => client.create_service(request).await,
            _ => client.update_service(request).await,
        };
        reply.map(Response::into_inner)
    }

    /// Removes the service.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn remove(
        &self,
        change_id: &str,
        name: &str,
        expected_revision: u64,
    ) -> Result<ChangeReply, Status> {
        let request = RemoveServiceRequest {
            name: name.to_owned(),
            change_id: change_id.to_owned(),
            operator: self.operator.clone(),
            expected_revision,
            dry_run: false,
        };
        self.client.clone().remove_service(request).await.map(Response::into_inner)
    }

    /// Returns the service as it is in force at the node.
    ///
    /// # Errors
    ///
    /// Fails if the call fails or the service does not exist.
    pub async fn get(&self, name: &str) -> Result<ServiceEntry, Status> {
        let request = GetServiceRequest { name: name.to_owned() };
        self.client.clone().get_service(request).await.map(Response::into_inner)
    }

    /// Returns the first 1,000 records of the audit trail.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn audit(&self) -> Result<Vec<AuditRecord>, Status> {
        let request = ReadAuditRequest { after_revision: 0, limit: 1_000 };
        let reply = self.client.clone().read_audit(request).await?;
        Ok(reply.into_inner().records)
    }
}

//! Client of the nodes' interface for operators.

use std::{net::SocketAddr, time::Duration};

use mux_admin::{
    ChangeReply, ChangeServiceRequest, DrainNodeRequest, GetServiceRequest, GetStatusRequest,
    NodeStatus, operators_client::OperatorsClient,
};
use serde_json::Value;
use tonic::{
    Response, Status,
    transport::{Channel, Endpoint},
};

const OPERATOR: &str = "proofs";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Client of the operator interface of one node.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    client: OperatorsClient<Channel>,
}

impl OperatorClient {
    /// Creates a client that connects to the node at `address` with its first call.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn new(address: SocketAddr) -> Self {
        let endpoint =
            Endpoint::try_from(format!("http://{address}")).expect("the address forms a valid URI");
        let channel =
            endpoint.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT).connect_lazy();
        Self { client: OperatorsClient::new(channel) }
    }

    /// Creates a service.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn create_service(&self, definition: &Value) -> Result<ChangeReply, Status> {
        let request = change_request(definition, 0);
        self.client.clone().create_service(request).await.map(Response::into_inner)
    }

    /// Creates a service with an expected revision, which a new one cannot have.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn create_service_at(
        &self,
        definition: &Value,
        expected_revision: u64,
    ) -> Result<ChangeReply, Status> {
        let request = change_request(definition, expected_revision);
        self.client.clone().create_service(request).await.map(Response::into_inner)
    }

    /// Replaces the definition of a service, expecting the revision that is in force at the node.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn update_service(&self, definition: &Value) -> Result<ChangeReply, Status> {
        let name = definition["name"].as_str().unwrap_or_default().to_owned();
        let current = self.client.clone().get_service(GetServiceRequest { name }).await?;
        let request = change_request(definition, current.into_inner().revision);
        self.client.clone().update_service(request).await.map(Response::into_inner)
    }

    /// Returns the status of the node, or `None` if the call fails.
    pub async fn status(&self) -> Option<NodeStatus> {
        let reply = self.client.clone().get_status(GetStatusRequest {}).await;
        reply.ok().map(Response::into_inner)
    }

    /// Begins a planned stop of the node.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn drain_node(&self) -> Result<(), Status> {
        let request = DrainNodeRequest { operator: OPERATOR.to_owned() };
        self.client.clone().drain_node(request).await.map(drop)
    }
}

fn change_request(definition: &Value, expected_revision: u64) -> ChangeServiceRequest {
    ChangeServiceRequest {
        definition_json: definition.to_string(),
        change_id: format!("{:032x}", rand::random::<u128>()),
        operator: OPERATOR.to_owned(),
        expected_revision,
        dry_run: false,
    }
}

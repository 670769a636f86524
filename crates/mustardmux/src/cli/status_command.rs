//! `mustardmux status`.

use clap::Args;
use mux_admin::{GetStatusRequest, MemberStatus, NodeStatus, ServiceStatus, UpstreamState};

use super::{
    errors::CommandError,
    operator_client::{self, OperatorArgs},
    output::{self, OutputFormat},
};

/// Shows the status of a node, and of its peers and services as known to it.
#[derive(Debug, Args)]
#[command(after_help = "Example: mustardmux status --operators 127.0.0.1:7003 --output json")]
pub(crate) struct StatusArgs {
    #[command(flatten)]
    target: OperatorArgs,
}

/// Runs the command.
pub(crate) async fn run(args: StatusArgs) -> Result<(), CommandError> {
    let mut client = operator_client::connect(&args.target).await?;
    let status = client
        .get_status(GetStatusRequest {})
        .await
        .map_err(|it| operator_client::read_failure(&it))?
        .into_inner();
    if args.target.output == OutputFormat::Json {
        return output::print_json(&status);
    }
    print_node(&status);
    print_members(&status.members);
    print_services(&status.services);
    Ok(())
}

fn print_node(status: &NodeStatus) {
    println!("node {} in {}: {}", status.node, status.availability_zone, status.state);
    if !status.reason.is_empty() {
        println!("  reason: {}", status.reason);
    }
    println!("  revision {}, up {} ms", status.revision, status.uptime_ms);
    if status.store_never_reached {
        println!("  key-value service: never reached");
    } else {
        println!("  key-value service: reached {} ms ago", status.store_contact_age_ms);
    }
    println!("  last peer heard {} ms ago", status.peer_contact_age_ms);
    println!();
}

fn print_members(members: &[MemberStatus]) {
    let rows: Vec<_> = members.iter().map(member_row).collect();
    output::print_table(["MEMBER", "ZONE", "STATE", "REVISION", "CALLERS", "OPERATORS"], &rows);
    println!();
}

fn member_row(member: &MemberStatus) -> [String; 6] {
    [
        member.node.clone(),
        member.availability_zone.clone(),
        member.state.clone(),
        member.revision.to_string(),
        member.caller_address.clone(),
        member.operator_address.clone(),
    ]
}

fn print_services(services: &[ServiceStatus]) {
    for service in services {
        println!(
            "service {} (revision {}): snapshot {}, {} of {} shards reachable, {} in flight, \
             home: {}, hedge after {} us, budget {:.1}, refusals {}",
            service.name,
            service.revision,
            service.snapshot,
            service.shards_reachable,
            service.shards_total,
            service.queries_in_flight,
            service.home,
            service.hedge_delay_us,
            service.extra_load_budget,
            service.refusals,
        );
        let rows: Vec<_> = service.upstreams.iter().map(upstream_row).collect();
        let header = [
            "  UPSTREAM",
            "STATE",
            "IN FLIGHT",
            "LIMIT",
            "LATENCY US",
            "CONNECTIONS",
            "LAST REPLY MS",
        ];
        output::print_table(header, &rows);
        println!();
    }
}

fn upstream_row(upstream: &UpstreamState) -> [String; 7] {
    [
        format!("  {}", upstream.address),
        upstream.state.clone(),
        upstream.in_flight.to_string(),
        upstream.limit.to_string(),
        upstream.latency_us.to_string(),
        upstream.connections.to_string(),
        upstream.last_reply_age_ms.to_string(),
    ]
}

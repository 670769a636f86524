//! `mustardmux audit`.

use clap::Args;
use mux_admin::{AuditRecord, ReadAuditRequest};

use super::{
    errors::CommandError,
    operator_client::{self, OperatorArgs},
    output::{self, OutputFormat},
};

/// Shows the audit trail of configuration changes.
#[derive(Debug, Args)]
#[command(
    after_help = "Example: mustardmux audit --operators 127.0.0.1:7003 --after 120 --limit 20"
)]
pub(crate) struct AuditArgs {
    #[command(flatten)]
    target: OperatorArgs,
    /// Shows only records with a revision above this one.
    #[arg(long, default_value_t = 0)]
    after: u64,
    /// Maximum number of records, up to 1000; 0 stands for 100.
    #[arg(long, default_value_t = 100)]
    limit: u32,
}

/// Runs the command.
pub(crate) async fn run(args: AuditArgs) -> Result<(), CommandError> {
    let mut client = operator_client::connect(&args.target).await?;
    let request = ReadAuditRequest { after_revision: args.after, limit: args.limit };
    let reply = client
        .read_audit(request)
        .await
        .map_err(|it| operator_client::read_failure(&it))?
        .into_inner();
    if args.target.output == OutputFormat::Json {
        return output::print_json(&reply.records);
    }
    let rows: Vec<_> = reply.records.iter().map(audit_row).collect();
    let header =
        ["REVISION", "FROM", "AT (UNIX MS)", "OPERATOR", "KIND", "SERVICE", "OUTCOME", "CHANGE"];
    output::print_table(header, &rows);
    Ok(())
}

fn audit_row(record: &AuditRecord) -> [String; 8] {
    [
        record.to_revision.to_string(),
        record.from_revision.to_string(),
        record.at_unix_ms.to_string(),
        record.operator.clone(),
        record.kind.clone(),
        record.service.clone(),
        record.outcome.clone(),
        record.change_id.clone(),
    ]
}

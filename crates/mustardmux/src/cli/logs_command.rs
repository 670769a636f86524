//! `mustardmux logs`: finds the cause of a failed request in the log lines of many nodes.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, Write},
};

use clap::{Args, Subcommand};
use serde_json::Value;

use super::errors::CommandError;

/// Prefixes of the messages that tell what a node believes about itself and its sources.
const STATE_PREFIXES: [&str; 6] = ["node:", "config:", "store:", "relay:", "budget:", "reach:"];
/// State lines that are kept for each node and message, and printed before a request.
const STATE_LINES_PER_MESSAGE: usize = 2;
/// Fields that each line has, printed apart from the others.
const COMMON_FIELDS: [&str; 4] = ["msg", "level", "ts", "node"];

/// Finds the cause of a failed request in log lines.
#[derive(Debug, Subcommand)]
pub(crate) enum LogsCommand {
    /// Prints the lines of one request, each after the latest state of its node.
    ///
    /// Reads log lines of any number of nodes from standard input; text before the JSON of a line
    /// is ignored. Memory is bounded by the number of nodes.
    Explain(ExplainArgs),
}

/// Arguments of explain.
#[derive(Debug, Args)]
#[command(after_help = "Example: cat node-*.log | mustardmux logs explain --id 9c41d07be2a35f68")]
pub(crate) struct ExplainArgs {
    /// Request ID, as the caller sent it.
    #[arg(long)]
    id: String,
}

/// The latest state lines of one node, by message.
#[derive(Debug, Default)]
struct NodeState {
    lines: BTreeMap<String, Vec<Value>>,
}

/// Runs the command.
pub(crate) fn run(command: LogsCommand) -> Result<(), CommandError> {
    let LogsCommand::Explain(args) = command;
    let failed = |error: io::Error| CommandError::Failed(format!("cannot copy the log: {error}"));
    let found = explain(&args.id, io::stdin().lock(), io::stdout().lock()).map_err(failed)?;
    if 0 < found {
        return Ok(());
    }
    Err(CommandError::Failed(format!(
        "no line of request {}: it reached none of these nodes, or its line was dropped (the nodes \
         log `suppressed_lines`); look at the metric `answers` of the nodes that its caller used",
        args.id
    )))
}

/// Copies the lines of a request with the state of their nodes; returns the number of its lines.
fn explain(id: &str, input: impl BufRead, mut output: impl Write) -> io::Result<usize> {
    let mut nodes: BTreeMap<String, NodeState> = BTreeMap::new();
    let mut found = 0;
    for line in input.lines() {
        let Some(entry) = parse_line(&line?) else {
            continue;
        };
        let node = text_of(&entry, "node").to_owned();
        if text_of(&entry, "id") == id {
            found += 1;
            if let Some(state) = nodes.get(&node) {
                state.print(&mut output)?;
            }
            writeln!(output, "{}", describe(&entry))?;
            continue;
        }
        let message = text_of(&entry, "msg");
        if STATE_PREFIXES.iter().any(|it| message.starts_with(it)) {
            nodes.entry(node).or_default().record(message.to_owned(), entry);
        }
    }
    Ok(found)
}

impl NodeState {
    fn record(&mut self, message: String, entry: Value) {
        let lines = self.lines.entry(message).or_default();
        if lines.len() == STATE_LINES_PER_MESSAGE {
            lines.remove(0);
        }
        lines.push(entry);
    }

    /// Prints the lines in the order in which they were logged.
    fn print(&self, output: &mut impl Write) -> io::Result<()> {
        let mut lines: Vec<&Value> = self.lines.values().flatten().collect();
        lines.sort_by_key(|it| text_of(it, "ts"));
        for line in lines {
            writeln!(output, "  before: {}", describe(line))?;
        }
        Ok(())
    }
}

fn parse_line(line: &str) -> Option<Value> {
    let start = line.find('{')?;
    let entry: Value = serde_json::from_str(&line[start..]).ok()?;
    entry.is_object().then_some(entry)
}

fn text_of<'a>(entry: &'a Value, field: &str) -> &'a str {
    entry[field].as_str().unwrap_or_default()
}

/// Returns an entry as one line: time, node, message, and the other fields that have a value.
fn describe(entry: &Value) -> String {
    let [message, _, time, node] = COMMON_FIELDS.map(|it| text_of(entry, it));
    let mut text = format!("{time} {node} {message}");
    for (name, value) in entry.as_object().into_iter().flatten() {
        let value = match value {
            Value::String(it) => it.clone(),
            it => it.to_string(),
        };
        if !COMMON_FIELDS.contains(&name.as_str()) && !value.is_empty() {
            text.push_str(&format!("; {name} {value}"));
        }
    }
    text
}

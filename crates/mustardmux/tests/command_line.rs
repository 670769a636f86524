//! Exit codes, help and error messages of the program.

#![expect(clippy::disallowed_methods, reason = "runs the program under test")]

use std::{
    fs,
    io::Write,
    process::{Command, Output, Stdio},
};

use googletest::prelude::*;

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_mustardmux"))
        .args(args)
        .env_remove("MUSTARDMUX_OPERATORS")
        .output()
        .expect("the program runs")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[gtest]
fn every_subcommand_has_help_with_an_example() {
    let subcommands: [&[&str]; 15] = [
        &["node"],
        &["node", "drain"],
        &["settings", "check"],
        &["settings", "example"],
        &["service", "create"],
        &["service", "update"],
        &["service", "apply"],
        &["service", "list"],
        &["service", "export"],
        &["status"],
        &["audit"],
        &["query"],
        &["platform", "status"],
        &["platform", "query"],
        &["logs", "explain"],
    ];

    for subcommand in subcommands {
        let output = run(&[subcommand, &["--help"]].concat());

        expect_that!(output.status.code(), some(eq(0)), "{subcommand:?}");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        expect_that!(text, contains_substring("Example"), "{subcommand:?}");
    }
}

#[gtest]
fn example_settings_are_valid() {
    let path = std::env::temp_dir().join(format!("mustardmux-example-{}.json", std::process::id()));
    fs::write(&path, run(&["settings", "example"]).stdout).expect("the file is written");

    let output = run(&["settings", "check", path.to_str().expect("the path is valid UTF-8")]);

    fs::remove_file(&path).expect("the file is removed");
    expect_that!(output.status.code(), some(eq(0)), "{}", stderr(&output));
}

#[gtest]
fn missing_required_arguments_exit_with_code_2() {
    let output = run(&["service", "create"]);

    expect_that!(output.status.code(), some(eq(2)));
    expect_that!(stderr(&output), contains_substring("--operators"));
}

#[gtest]
fn unreachable_node_is_reported_as_not_run_with_exit_code_3() {
    let output = run(&["service", "list", "--operators", "127.0.0.1:1"]);

    expect_that!(output.status.code(), some(eq(3)));
    expect_that!(stderr(&output), contains_substring("not_run"));
}

#[gtest]
fn error_names_the_missing_settings_file() {
    let output = run(&["node", "--settings", "no-such-file.json"]);

    expect_that!(output.status.code(), some(eq(1)));
    expect_that!(stderr(&output), contains_substring("no-such-file.json"));
}

/// Runs `logs explain` for request 9c41 on these lines.
fn explain(lines: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_mustardmux"))
        .args(["logs", "explain", "--id", "9c41"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program runs");
    let mut input = child.stdin.take().expect("piped input");
    input.write_all(lines.join("\n").as_bytes()).expect("the lines are read");
    drop(input);
    child.wait_with_output().expect("the program ends")
}

/// From one stream of many nodes, the path of one request and what its node believed then.
#[gtest]
fn lines_of_a_request_are_printed_after_the_state_of_their_node() {
    let output = explain(&[
        r#"{"msg":"config: activated","ts":"1","node":"a-1","version":4}"#,
        r#" 0.5 a-2 {"msg":"config: activated","ts":"2","node":"a-2","version":5}"#,
        r#"{"msg":"store: unreachable","ts":"3","node":"a-1","cause":"timed out"}"#,
        "not a log line {",
        r#"{"msg":"request: answered","ts":"4","node":"a-1","id":"ffff","status":200}"#,
        r#"{"msg":"request: answered","ts":"5","node":"a-1","id":"9c41","status":503,"missing":""}"#,
        r#"{"msg":"config: activated","ts":"6","node":"a-1","version":7}"#,
    ]);

    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let lines: Vec<&str> = text.lines().collect();
    let expected = vec![
        "  before: 1 a-1 config: activated; version 4",
        "  before: 3 a-1 store: unreachable; cause timed out",
        "5 a-1 request: answered; id 9c41; status 503",
    ];
    expect_that!(lines, eq(&expected));
    expect_that!(output.status.code(), some(eq(0)));
}

/// A forwarded request has a line at the node of its caller and one at the node that served it.
#[gtest]
fn lines_of_a_forwarded_request_are_printed_with_the_reach_of_their_nodes() {
    let output = explain(&[
        r#"{"msg":"reach: this node is cut from all upstreams","ts":"1","node":"a-1"}"#,
        r#"{"msg":"request: answered","ts":"2","node":"a-2","id":"9c41","origin":"a-1","status":200}"#,
        r#"{"msg":"request: answered","ts":"3","node":"a-1","id":"9c41","helpers":"a-2: whole; "}"#,
    ]);

    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let lines: Vec<&str> = text.lines().collect();
    let expected = vec![
        "2 a-2 request: answered; id 9c41; origin a-1; status 200",
        "  before: 1 a-1 reach: this node is cut from all upstreams",
        "3 a-1 request: answered; helpers a-2: whole; ; id 9c41",
    ];
    expect_that!(lines, eq(&expected));
}

#[gtest]
fn request_without_a_line_is_an_error_that_says_what_to_do() {
    let output = explain(&[r#"{"msg":"request: answered","ts":"4","node":"a-1","id":"ffff"}"#]);

    expect_that!(output.status.code(), some(eq(1)));
    expect_that!(stderr(&output), contains_substring("no line of request 9c41"));
}

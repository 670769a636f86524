//! Exit codes, help and error messages of the program.

#![expect(clippy::disallowed_methods, reason = "runs the program under test")]

use std::{
    fs,
    process::{Command, Output},
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
    let subcommands: [&[&str]; 14] = [
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

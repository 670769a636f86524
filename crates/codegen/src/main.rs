//! Generates the Rust code of the operator API from `proto/operators.proto`.
//!
//! Run it after each change to the schema and commit the output; `scripts/check-generated` fails
//! if the committed code is outdated.

use std::{error, path::Path};

fn main() -> Result<(), Box<dyn error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let descriptors = protox::compile(["operators.proto"], [root.join("proto")])?;
    tonic_prost_build::configure()
        .type_attribute(".", "#[derive(serde::Serialize)]")
        .field_attribute(
            "ChangeReply.verdict",
            "#[serde(serialize_with = \"crate::serialize_verdict\")]",
        )
        .out_dir(root.join("crates/admin/src/generated"))
        .compile_fds(descriptors)?;
    Ok(())
}

//! Differences between two definitions of a service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ServiceDefinition;

/// A field that differs between two definitions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldDiff {
    /// Path of the field, for example `limits.slots_per_upstream`.
    pub key: String,
    /// Old value as JSON; `None` if the field was added.
    pub old: Option<String>,
    /// New value as JSON; `None` if the field was removed.
    pub new: Option<String>,
}

impl FieldDiff {
    /// Returns the diff with each value truncated to `limit` characters.
    pub(crate) fn truncated(self, limit: usize) -> Self {
        let truncate = |it: String| it.chars().take(limit).collect();
        Self { old: self.old.map(truncate), new: self.new.map(truncate), ..self }
    }
}

/// Lists the fields that differ, ordered by path; `None` stands for a missing service.
pub fn diff_definitions(
    old: Option<&ServiceDefinition>,
    new: Option<&ServiceDefinition>,
) -> Vec<FieldDiff> {
    let old = old.map(flatten_definition).unwrap_or_default();
    let new = new.map(flatten_definition).unwrap_or_default();
    let mut diffs: Vec<_> = old
        .iter()
        .filter(|(key, value)| new.get(*key) != Some(value))
        .map(|(key, value)| FieldDiff {
            key: key.clone(),
            old: Some(value.clone()),
            new: new.get(key).cloned(),
        })
        .collect();
    let added = new.iter().filter(|(key, _)| !old.contains_key(*key));
    diffs.extend(added.map(|(key, value)| FieldDiff {
        key: key.clone(),
        old: None,
        new: Some(value.clone()),
    }));
    diffs.sort_by(|lhs, rhs| lhs.key.cmp(&rhs.key));
    diffs
}

fn flatten_definition(definition: &ServiceDefinition) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let value = serde_json::to_value(definition).unwrap_or_default();
    flatten_value("", &value, &mut fields);
    fields
}

fn flatten_value(path: &str, value: &Value, fields: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(members) => {
            for (key, member) in members {
                let separator = if path.is_empty() { "" } else { "." };
                flatten_value(&format!("{path}{separator}{key}"), member, fields);
            }
        }
        Value::Array(items) => {
            for (idx, item) in items.iter().enumerate() {
                flatten_value(&format!("{path}[{idx}]"), item, fields);
            }
        }
        scalar => {
            fields.insert(path.to_owned(), scalar.to_string());
        }
    }
}

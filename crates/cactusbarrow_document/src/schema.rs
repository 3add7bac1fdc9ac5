//! JSON Schema of the documents, for the console's forms.

use crate::Object;

/// Returns the JSON Schema of one object.
pub fn json_schema() -> serde_json::Value {
    schemars::schema_for!(Object).to_value()
}

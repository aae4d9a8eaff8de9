//! The OpenAPI page, made from the table of endpoints and the schemas.

use super::endpoint::{Access, Endpoint};
use super::schemas::Schemas;
use serde_json::{json, Map, Value};
use utoipa::OpenApi;

/// Parameters of paths, in the order in which the page lists them.
const PATH_PARAMETERS: [&str; 5] = ["tenant", "name", "key", "duty", "shard"];

/// The OpenAPI page of these endpoints.
///
/// # Errors
/// If the schemas cannot be written as JSON.
pub(super) fn document(endpoints: &[Endpoint]) -> Result<Value, serde_json::Error> {
    let mut page = serde_json::to_value(Schemas::openapi())?;
    let mut paths: Map<String, Value> = Map::new();
    for endpoint in endpoints {
        let path = paths.entry(endpoint.path).or_insert_with(|| json!({}));
        path[endpoint.method.to_lowercase()] = operation(endpoint);
    }
    page["paths"] = Value::Object(paths);
    page["components"]["securitySchemes"] = json!({ "key": { "type": "http", "scheme": "bearer" } });
    Ok(page)
}

fn operation(endpoint: &Endpoint) -> Value {
    let mut success = json!({ "description": endpoint.summary });
    if let Some(schema) = endpoint.response_schema {
        success["content"] = content("application/json", schema);
    }
    let problem = json!({
        "description": "What went wrong", "content": content("application/problem+json", "Problem"),
    });
    let mut operation = json!({
        "summary": endpoint.summary,
        "parameters": parameters(endpoint),
        "responses": { success_status(endpoint): success, "default": problem },
    });
    if let Some(schema) = endpoint.request_schema {
        let is_patch = endpoint.method == "PATCH";
        let content_type = if is_patch { "application/merge-patch+json" } else { "application/json" };
        operation["requestBody"] = json!({ "required": true, "content": content(content_type, schema) });
    }
    if endpoint.access != Access::Public {
        operation["security"] = json!([{ "key": [] }]);
        operation["x-access"] = json!(format!("{:?}", endpoint.access));
    }
    operation
}

fn content(content_type: &str, schema: &str) -> Value {
    json!({ content_type: { "schema": { "$ref": format!("#/components/schemas/{schema}") } } })
}

/// Parameters of the path, and the headers that matter to the endpoint.
fn parameters(endpoint: &Endpoint) -> Vec<Value> {
    let header = |name: &str, description: &str| {
        json!({
            "name": name, "in": "header", "required": false, "description": description,
            "schema": { "type": "string" },
        })
    };
    let in_path = PATH_PARAMETERS.into_iter().filter(|name| endpoint.path.contains(&format!("{{{name}}}")));
    let mut parameters: Vec<Value> = in_path
        .map(|name| json!({ "name": name, "in": "path", "required": true, "schema": { "type": "string" } }))
        .collect();
    let is_for_ingress = endpoint.access == Access::Ingress;
    let changes_existing =
        ["PUT", "PATCH", "DELETE"].contains(&endpoint.method) || endpoint.path.ends_with("/restore");
    let creates = endpoint.method == "POST" && !endpoint.path.ends_with("/rotate");
    if changes_existing && !is_for_ingress {
        parameters.push(header("If-Match", "the ETag that was read, or *"));
    } else if creates && !is_for_ingress {
        let description = "sent again with the same body, the first answer comes again";
        parameters.push(header("Idempotency-Key", description));
    }
    parameters
}

fn success_status(endpoint: &Endpoint) -> &'static str {
    match (endpoint.method, endpoint.path) {
        ("POST", "/v1/leases/mark") | ("PUT", "/v1/findings/{duty}/{shard}") => "204",
        ("POST", path) if endpoint.access != Access::Ingress && !path.ends_with("/restore") => "201",
        ("DELETE", "/v1/tenants/{tenant}") => "202",
        ("DELETE", _) => "204",
        _ => "200",
    }
}

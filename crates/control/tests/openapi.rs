//! `docs/api.json` is the OpenAPI page of the program. After a change: `VIOLETYOKE_WRITE_API=1 cargo test -p
//! violetyoke-control --test openapi`.

use violetyoke_control::api::openapi;

#[test]
fn api_reference_is_the_programs_openapi_page() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/api.json");
    let now = serde_json::to_string_pretty(&openapi().unwrap()).unwrap() + "\n";
    if std::env::var_os("VIOLETYOKE_WRITE_API").is_some() {
        std::fs::write(path, &now).unwrap();
    }
    let kept = std::fs::read_to_string(path).unwrap_or_default();
    assert!(kept == now, "docs/api.json is not what the program gives");
}

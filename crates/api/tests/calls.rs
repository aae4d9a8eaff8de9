//! The table of calls.

#![cfg(test)]

use violetyoke_api::calls::{query_parameter, Call, CallTarget};

#[test]
fn each_call_is_found_by_its_target_method_path_and_name() {
    for call in Call::ALL {
        let entry = call.entry();
        let query = entry.name.map(|name| format!("of=z&call={name}"));
        assert_eq!(Call::find(entry.target, entry.method, entry.path, query.as_deref()), Some(call));
        assert_eq!(Call::find(entry.target, "PUT", entry.path, query.as_deref()), None);
    }
    assert_eq!(Call::find(CallTarget::Controller, "POST", "/api/rpc", Some("call=unknown")), None);
}

#[test]
fn first_value_of_a_query_parameter_is_returned_without_decoding() {
    assert_eq!(query_parameter(Some("of=b&of=c&call=x%20y"), "of"), Some("b"));
    assert_eq!(query_parameter(Some("of=b&call=x%20y"), "call"), Some("x%20y"));
    assert_eq!(query_parameter(Some("of"), "of"), None);
    assert_eq!(query_parameter(None, "of"), None);
}

//! Reading the platform's list of backends: the pages, the end of the connection, and unexpected responses.

#![cfg(test)]

use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use violetyoke_registry::platform::{fetch_backends, Page, PlatformError};

const FIRST_PAGE: &str = r#"{"instances":{"i-1":{"service":"finder","address":"10.0.0.9:80","zone":"a",
    "state":"ready"}},"next-token":"p-2"}"#;
const LAST_PAGE: &str = r#"{"instances":{"i-2":{"service":"finder","address":"10.0.0.8:80","zone":"a",
    "state":"ready"}},"next-token":null}"#;

fn response(status: u16, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Reads one request and returns its target.
async fn request_target(stream: &mut TcpStream) -> String {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).await.is_ok_and(|read| read > 0) {
        head.extend_from_slice(&byte);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    head.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// The result of a call.
struct Fetch {
    /// How many backends it returned.
    backends: Result<usize, PlatformError>,
    /// The targets of its requests; the last one is empty if the connection ended after a response.
    targets: Vec<String>,
}

/// Reads the list of a platform that sends `responses`, one after each request, and then waits for the connection to end.
fn fetch_from(responses: Vec<Vec<u8>>) -> Fetch {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address: SocketAddr = listener.local_addr().expect("an address");
        let platform = tokio::task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut targets = Vec::new();
            for response in responses {
                targets.push(request_target(&mut stream).await);
                stream.write_all(&response).await.expect("sent");
            }
            // Returns only when the caller closes the connection.
            targets.push(request_target(&mut stream).await);
            let mut rest = Vec::new();
            // The caller may reset the connection: only its end matters here.
            drop(stream.read_to_end(&mut rest).await);
            targets
        });
        let backends = fetch_backends(address).await.map(|backends| backends.len());
        Fetch { backends, targets: platform.await.expect("the platform") }
    })
}

#[test]
fn all_pages_make_the_list_and_the_connection_ends_with_it() {
    let fetch = fetch_from(vec![response(200, FIRST_PAGE), response(200, LAST_PAGE)]);
    assert_eq!(fetch.backends.expect("a list"), 2);
    assert_eq!(fetch.targets, ["/instances", "/instances?page-token=p-2", ""]);
}

#[test]
fn platform_that_stops_responding_between_pages_leaves_no_connection_open() {
    let fetch = fetch_from(vec![response(200, FIRST_PAGE)]);
    assert!(matches!(fetch.backends, Err(PlatformError::Timeout)), "{:?}", fetch.backends);
    assert_eq!(fetch.targets, ["/instances", "/instances?page-token=p-2"]);
}

#[test]
fn response_that_arrives_before_its_request_is_not_accepted_as_a_page() {
    let both = [response(200, FIRST_PAGE), response(200, LAST_PAGE)].concat();
    let fetch = fetch_from(vec![both]);
    assert!(matches!(fetch.backends, Err(PlatformError::Exchange(_))), "{:?}", fetch.backends);
    assert_eq!(fetch.targets, ["/instances", ""]);
}

#[test]
fn refusal_ends_the_call() {
    let fetch = fetch_from(vec![response(200, FIRST_PAGE), response(429, "")]);
    assert!(
        matches!(&fetch.backends, Err(PlatformError::Status(status)) if status.as_u16() == 429),
        "{:?}",
        fetch.backends
    );
    assert_eq!(fetch.targets, ["/instances", "/instances?page-token=p-2", ""]);
}

#[test]
fn page_is_read_as_the_platform_writes_it() {
    let text = br#"{"instances":{"i-7f3a91c2":{"service":"huvo11a","address":"10.128.0.9:8080","zone":"a1",
        "version":"v1","slots":6,"state":"draining","cold-left-ms":12.5,"new":1}},"next-token":"p-50"}"#;
    let page = Page::parse(text).expect("a page");
    assert_eq!(page.next_token.as_deref(), Some("p-50"));
    let backend = &page.backends[0];
    assert_eq!((backend.id.as_str(), backend.draining, backend.slow_start_left_ms), ("i-7f3a91c2", true, 13));
    let empty = Page::parse(b"{\"instances\":{}}").expect("a page");
    assert_eq!(empty, Page { backends: Vec::new(), next_token: None });
    assert!(Page::parse(b"{\"instances\":{\"i-1\":{}}}").is_err());
}

// Guards against a state that is new on the platform and makes the entire list of backends unreadable.
#[test]
fn backend_of_unknown_state_is_listed_and_gets_no_new_requests() {
    let body = LAST_PAGE.replace("ready", "paused");
    let page = Page::parse(body.as_bytes()).expect("a page");
    let states: Vec<(&str, bool)> =
        page.backends.iter().map(|backend| (backend.id.as_str(), backend.draining)).collect();
    assert_eq!(states, [("i-2", true)]);
}

/// A page with a backend that states these numbers, and one that states usual ones.
fn page_with(slots: &str, cold_left_ms: &str) -> String {
    format!(
        r#"{{"instances":{{
            "i-1":{{"service":"finder","address":"10.0.0.9:80","zone":"a","state":"ready","slots":{slots},
                    "cold-left-ms":{cold_left_ms}}},
            "i-2":{{"service":"finder","address":"10.0.0.8:80","zone":"a","state":"ready","slots":6,"cold-left-ms":40}}
        }}}}"#
    )
}

/// The slots and the rest of the slow start of each backend on a page.
fn numbers_on(page: &str) -> Vec<(u32, u64)> {
    let page = Page::parse(page.as_bytes()).expect("a page");
    page.backends.iter().map(|backend| (backend.slots, backend.slow_start_left_ms)).collect()
}

// Guards against a list that is refused as a whole because one of its backends states a number out of range.
#[test]
fn number_out_of_range_costs_its_backend_alone() {
    const YEAR_MS: u64 = 365 * 24 * 3_600_000;
    let usual = (6, 40);
    for (slots, bounded) in
        [("-1", 1), ("0", 1), ("2.9", 2), ("1e300", 10_000), ("1e999", 10_000), ("null", 1), ("\"six\"", 1)]
    {
        assert_eq!(numbers_on(&page_with(slots, "0")), [(bounded, 0), usual], "{slots} slots");
    }
    let longest = "340282366920938463463374607431768211456";
    for (cold_left_ms, bounded) in
        [("-1", 0), ("0.1", 1), ("1e300", YEAR_MS), ("1e999", YEAR_MS), (longest, YEAR_MS), ("[]", 0)]
    {
        assert_eq!(numbers_on(&page_with("6", cold_left_ms)), [(6, bounded), usual], "{cold_left_ms} ms");
    }
}

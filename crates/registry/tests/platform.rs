//! Calls to the platform: what ends with them, and what an answer that comes late does.

#![cfg(test)]
#![allow(clippy::let_underscore_must_use, reason = "not yet revised for readers: see docs/ROADMAP.md")]

use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use violetyoke_registry::platform::whole;

const FIRST_PAGE: &str = r#"{"instances":{"i-1":{"service":"finder","address":"10.0.0.9:80","zone":"a",
    "state":"ready"}},"next-token":"p-2"}"#;
const LAST_PAGE: &str = r#"{"instances":{"i-2":{"service":"finder","address":"10.0.0.8:80","zone":"a",
    "state":"ready"}},"next-token":null}"#;

fn answer(status: u16, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Reads one request; its target.
async fn request(stream: &mut TcpStream) -> String {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).await.is_ok_and(|read| read > 0) {
        head.extend_from_slice(&byte);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    head.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Calls a platform that answers by `pages`, one after the other, and then waits for its connection to end.
fn called(pages: Vec<Vec<u8>>) -> (Option<usize>, Vec<String>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address: SocketAddr = listener.local_addr().expect("an address");
        let platform = tokio::task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut targets = Vec::new();
            for page in pages {
                targets.push(request(&mut stream).await);
                stream.write_all(&page).await.expect("answered");
            }
            // Ends only when the caller gives the connection up.
            targets.push(request(&mut stream).await);
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest).await;
            targets
        });
        let backends = whole(address).await.map(|backends| backends.len());
        (backends, platform.await.expect("the platform"))
    })
}

#[test]
fn all_pages_make_the_list_and_the_connection_ends_with_it() {
    let (backends, targets) = called(vec![answer(200, FIRST_PAGE), answer(200, LAST_PAGE)]);
    assert_eq!(backends, Some(2));
    assert_eq!(targets, ["/instances", "/instances?page-token=p-2", ""]);
}

#[test]
fn a_platform_that_falls_silent_between_pages_leaves_no_connection_behind() {
    let (backends, targets) = called(vec![answer(200, FIRST_PAGE)]);
    assert_eq!(backends, None);
    assert_eq!(targets, ["/instances", "/instances?page-token=p-2"]);
}

#[test]
fn an_answer_too_many_is_taken_for_no_page() {
    let two = [answer(200, FIRST_PAGE), answer(200, LAST_PAGE)].concat();
    let (backends, targets) = called(vec![two]);
    assert_eq!(backends, None, "a page that came before it was asked for");
    assert_eq!(targets, ["/instances", ""]);
}

#[test]
fn a_refusal_ends_the_call() {
    let (backends, targets) = called(vec![answer(200, FIRST_PAGE), answer(429, "")]);
    assert_eq!(backends, None);
    assert_eq!(targets, ["/instances", "/instances?page-token=p-2", ""]);
}

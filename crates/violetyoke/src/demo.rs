//! `violetyoke demo`: a service to try out, with stub nodes in this process.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;
use violetyoke_config::Service;
use violetyoke_ingress::service;
use violetyoke_standin::node::{Node, Shape};

/// Returns the address. For port 0, chooses a free port, so that the address can be printed.
pub fn resolve_port(listen: SocketAddr) -> Result<SocketAddr, String> {
    match listen.port() {
        0 => TcpListener::bind(listen)
            .and_then(|listener| listener.local_addr())
            .map_err(|error| error.to_string()),
        _ => Ok(listen),
    }
}

/// Starts the nodes, writes the configuration file to the temporary directory, and prints what to try.
pub fn start(listen: SocketAddr) -> Result<(PathBuf, Service), String> {
    let to_text = |error: io::Error| error.to_string();
    let listen = resolve_port(listen)?;
    let node = |name: &str, milliseconds| {
        let shape = Shape { service: Duration::from_millis(milliseconds), ..Shape::default() };
        Node::start(violetyoke_standin::any_port(), name, shape).map_err(to_text)
    };
    let nodes = [node("avail-1", 5)?, node("avail-2", 5)?, node("booking-1", 20)?];
    let text = format!(
        r#"# What `violetyoke demo` serves. deploy/service.example.toml has every key.
[service]
listen = "{listen}"
watch_file = true

[[pool]]
name = "availability"
weight = 1
nodes = [{{ address = "{}" }}, {{ address = "{}" }}]
limit_fields = ["draft"]
class = [{{ name = "avail-read", effect = "safe", aim_ms = 750, deadline_ms = 2000 }}]
plan = [{{ name = "basic", rate = 10, burst = 20 }}]

[[pool]]
name = "reservations"
weight = 2
nodes = [{{ address = "{}" }}]
limit_fields = ["draft", "legacy"]
class = [{{ name = "booking-post", effect = "unsafe", aim_ms = 500, deadline_ms = 1200 }}]
plan = [{{ name = "basic", rate = 0.2, burst = 1 }}]

[[route]]
host = "avail.example.org"
pool = "availability"

[[route]]
host = "booking.example.org"
method = "POST"
pool = "reservations"
"#,
        nodes[0].address, nodes[1].address, nodes[2].address
    );
    let file = std::env::temp_dir().join(format!("violetyoke-demo-{}.toml", std::process::id()));
    fs::write(&file, text).map_err(to_text)?;
    let config = service::read(&file)?;
    let booking = format!(
        "curl -i -X POST -H 'Host: booking.example.org' -H 'X-Account: hotel-7' -d room=4 http://{listen}/bookings"
    );
    println!("The service's file is {}; a change to it is taken up at once.", file.display());
    println!(
        "Served:\n  curl -i -H 'Host: avail.example.org' -H 'X-Account: hotel-7' http://{listen}/hotels/7"
    );
    println!("Served once, and within the next five seconds refused with 429:\n  {booking}\n  {booking}");
    println!("Ctrl-C ends it.");
    Ok((file, config))
}

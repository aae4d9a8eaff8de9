//! Processes of one ingress that inherit their listening socket, as on the platform.

use super::*;
use std::os::fd::OwnedFd;

/// Makes one call to the console on a new connection. Returns the status.
pub fn call(console: SocketAddr, method: &str, path: &str) -> u16 {
    let mut client = Client::try_open(console).expect("the console accepts connections");
    client.call(format!("{method} {path} HTTP/1.1\r\nHost: console\r\n\r\n")).status()
}

/// Sends requests to an ingress, which must all be served.
pub fn assert_serves(ingress: &Ingress, times: usize) {
    let mut client = ingress.client();
    for _ in 0..times {
        let response = client.call(read_request());
        assert_eq!(response.status(), 200);
        // The process was taken over: the next connection is accepted by its successor.
        if response.headers.get("connection").is_some_and(|value| value == "close") {
            client = ingress.client();
        }
    }
}

/// A process of an ingress with an inherited listening socket.
pub struct Process {
    pub ingress: Ingress,
    pub console: SocketAddr,
}

/// The listening socket and the folder that all processes of an ingress share.
pub struct SharedSocket {
    listener: TcpListener,
    pub folder: PathBuf,
    pub counter: Counter,
    pub discovery: Discovery,
    /// Limit on file descriptors of a process, if not the default.
    pub sockets: Option<u32>,
}

impl SharedSocket {
    pub fn new(backends: &[&Backend]) -> SharedSocket {
        let entries = backends.iter().enumerate();
        let members = entries.map(|(i, backend)| member(&format!("s-{i}"), backend.address, "in_service"));
        let listener = free_listener();
        let folder = std::env::temp_dir().join(format!(
            "violetyoke-held-{}-{}",
            std::process::id(),
            listener.local_addr().unwrap().port()
        ));
        std::fs::create_dir_all(&folder).unwrap();
        SharedSocket {
            listener,
            folder,
            counter: Counter::start(),
            discovery: Discovery::start(members.collect()),
            sockets: None,
        }
    }

    /// Starts a process as the platform does, with the socket as file descriptor 7.
    pub fn start(&self) -> Process {
        let console = free_address();
        let socket = OwnedFd::from(self.listener.try_clone().unwrap());
        let mut ingress = Ingress::spawn_as(
            &self.counter,
            &self.discovery,
            |config| {
                config["console"] = json!(console.to_string());
                if let Some(sockets) = self.sockets {
                    config["limits"]["sockets"] = json!(sockets);
                }
                // The tests send requests without pause, so the quota must not limit them.
                for (key, units) in [("quota-rate", 1e6), ("peak-units", 1e7)] {
                    config["settings"]["tariffs"][0][key] = json!(units);
                }
            },
            |program| {
                let mut shell = Command::new("/bin/sh");
                shell.args(["-c", "exec 7<&0 0</dev/null; exec \"$0\""]).arg(program);
                shell.stdin(Stdio::from(socket)).env("EDGE_PASSED_SOCKET", "7").env("TMPDIR", &self.folder);
                shell
            },
        );
        ingress.address = self.listener.local_addr().unwrap();
        until("the process is ready", || {
            assert!(ingress.child.try_wait().unwrap().is_none(), "the process ended");
            Client::try_open(console)
                .and_then(|mut client| client.try_call("GET /-/ready HTTP/1.1\r\nHost: c\r\n\r\n"))
                .is_some_and(|response| response.status() == 200)
        });
        Process { ingress, console }
    }
}

impl Drop for SharedSocket {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

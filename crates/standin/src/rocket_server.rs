//! Shared parts of the stand-in servers that run in this process.

use std::net::SocketAddr;
use std::time::Duration;

/// Returns a rocket configuration that listens on the loopback `port` and
/// prints nothing.
#[must_use]
pub fn silent_rocket_config(port: u16) -> rocket::Config {
    rocket::Config {
        port,
        address: std::net::Ipv4Addr::LOCALHOST.into(),
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        ..rocket::Config::release_default()
    }
}

/// Waits until the loopback `port` accepts connections. Makes 500 attempts 10 ms
/// apart (about five seconds), then returns without an error.
pub async fn wait_until_listening(port: u16) {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    for _ in 0..500 {
        if tokio::net::TcpStream::connect(address).await.is_ok() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

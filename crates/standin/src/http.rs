//! The HTTP client of stand-ins and tests.

/// A client that follows no proxy variable of its environment.
///
/// # Panics
/// If the process cannot open sockets.
#[must_use]
pub fn direct_client() -> reqwest::Client {
    let client = reqwest::Client::builder().no_proxy().build();
    client.expect("an HTTP client without TLS always builds")
}

//! Properties of the path of an answer over two daemons: the client gets the answer that the
//! target wrote, once, or an error.

#[path = "support/generated_answers.rs"]
mod generated_answers;
#[path = "support/users.rs"]
mod users;

use filbert_platform_standin::host::call_headers;
use filbert_platform_standin::{Answer, Client};
use generated_answers::{generate_answer, GeneratedAnswer};
use rand::rngs::StdRng;
use rand::SeedableRng;
use users::{eventually, generated_cases, two_host_fleet, Fleet, WAIT_TIMEOUT};

const SEED: u64 = 56;
const GENERATED_ANSWERS: usize = 300;
const BAD_GATEWAY: u16 = 502;
const GATEWAY_TIMEOUT: u16 = 504;

/// Guards against a third thing besides the same answer once and an error: a cut answer that
/// looks whole, a changed field or body, an answer of another call, or a second one.
#[tokio::test]
async fn an_answer_arrives_as_it_was_written_or_as_an_error() {
    let fleet = two_host_fleet("a").await;
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut clients = [None, None];
    for number in 0..generated_cases(GENERATED_ANSWERS) {
        let id = format!("order-{number}");
        let generated = generate_answer(&id, &mut rng);
        fleet.hosts[1]
            .target
            .set_written_answer(&id, generated.written.clone());
        let host = number % 2;
        let answer = call(&fleet, host, &mut clients[host], &id).await;
        if generated.is_whole
            && answer
                .as_ref()
                .is_none_or(|answer| answer.status == BAD_GATEWAY)
        {
            print_lines_of(&fleet, &id);
        }
        check(&id, &generated, answer);
        assert_eq!(fleet.run_count(&id), 1, "{id}");
        wait_until_done(&fleet, &id, generated.written.closes).await;
    }
}

/// Waits until the target has sent all that it sends for call `id`, and has closed its connection
/// if it closes it. Some close it without a word behind a whole answer: a call that is sent
/// before is lost, and no daemon can know whether it ran.
async fn wait_until_done(fleet: &Fleet, id: &str, closes: bool) {
    let target = &fleet.hosts[1].target;
    let is_done = || async { target.running() == 0 && (!closes || target.has_closed_behind(id)) };
    assert!(eventually(WAIT_TIMEOUT, is_done).await, "{id}");
}

/// Prints what the daemons have logged of the call with this id.
fn print_lines_of(fleet: &Fleet, id: &str) {
    for host in &fleet.hosts {
        let log = host.log();
        let lines = log.lines().filter(|line| line.contains(id));
        lines.for_each(|line| eprintln!("{line}"));
    }
}

/// Sends an order on the open connection, or on a new one, and keeps it if it may be used
/// again, so that a second answer would be read as that to the next order.
async fn call(
    fleet: &Fleet,
    host: usize,
    connection: &mut Option<Client>,
    id: &str,
) -> Option<Answer> {
    let mut client = match connection.take() {
        Some(client) => client,
        None => fleet.connect(host).await,
    };
    let line = format!("POST /order/{id} HTTP/1.1");
    client.send(&line, &call_headers(id), b"sign").await.ok()?;
    let answer = client.answer().await?;
    if answer.head.keep_alive {
        *connection = Some(client);
    }
    Some(answer)
}

fn check(id: &str, generated: &GeneratedAnswer, answer: Option<Answer>) {
    let bytes = &generated.written.bytes;
    let head = String::from_utf8_lossy(&bytes[..bytes.len().min(500)]).into_owned();
    if !generated.is_whole {
        // A connection that is closed inside an answer tells the client that it is cut.
        let status = answer.map(|answer| answer.status);
        let is_error = matches!(status, None | Some(BAD_GATEWAY | GATEWAY_TIMEOUT));
        assert!(is_error, "{status:?} for {head}");
        return;
    }
    let answer = answer.unwrap_or_else(|| panic!("no answer for {head}"));
    assert_eq!(answer.status, generated.status, "{head}");
    assert_eq!(answer.header("Request-Id"), id, "{head}");
    assert!(answer.body == generated.body, "changed body: {head}");
    let is_meant = |name: &str| generated.fields.iter().any(|(meant, _)| meant == name);
    let fields = answer.head.fields.iter();
    let got: Vec<_> = fields
        .filter(|(name, _)| is_meant(name))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    assert_eq!(got, generated.fields, "{head}");
    assert!(answer.header("X-Hop").is_empty(), "{head}");
}

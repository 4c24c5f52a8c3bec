//! The caller's side: routes a client's call, places it, sends it again where
//! that is right, and answers for it.

mod admit;
mod attempt;
mod message;
mod pick;
mod place;
mod story;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbert_http1::RequestHead;
use filbert_platform::headers::CallHeaders;
use filbert_policy::identity::CallIdentity;
use filbert_policy::organisations::keys::OrganisationRule;
use filbert_policy::routing::{RouteIndex, RouteRule};

use crate::body::{AnswerBody, CallBody};
use crate::messages::AnswerHead;
use crate::state::MeshShared;
use admit::admit;
use place::{CallProgress, Placing};
use story::CallStory;

/// Time on the way from and to a client: its wait began before its call was
/// read, and an answer must reach it before the wait ends. The farthest
/// clients are 8 ms away one way.
const CLIENT_WAY: Duration = Duration::from_millis(20);
/// When to come back to a daemon that knows no configuration yet.
const NOT_YET: Duration = Duration::from_millis(250);

const NOT_ALLOWED: u16 = 401;
const NOT_FOUND: u16 = 404;
const TOO_MANY: u16 = 429;
const BAD_GATEWAY: u16 = 502;
const UNAVAILABLE: u16 = 503;
const TIMED_OUT: u16 = 504;
/// From this status on an answer is the target's failure.
const FIRST_FAILURE: u16 = 500;

/// A client's call.
#[derive(Debug)]
pub struct ClientCall {
    /// Its head.
    pub head: RequestHead,
    /// What its headers say.
    pub headers: CallHeaders,
    /// What it is, whichever try of its client it belongs to.
    pub identity: CallIdentity,
    /// Its body.
    pub body: CallBody,
    /// When it was read.
    pub received: Instant,
    /// The organisation whose key it brings, once that is known.
    pub holder: Option<Arc<OrganisationRule>>,
}

impl ClientCall {
    /// The name of the organisation that it is counted for.
    #[must_use]
    pub fn organisation(&self) -> Option<&str> {
        self.holder.as_ref().map(|holder| holder.name.as_str())
    }
}

/// What a client gets.
#[derive(Debug)]
pub enum ClientAnswer {
    /// The target's answer.
    Target(AnswerHead, AnswerBody),
    /// One of our own, without a body.
    Own {
        /// Its status.
        status: u16,
        /// When to come back.
        come_back: Option<Duration>,
    },
}

impl ClientAnswer {
    /// Whether it says that the call did not run.
    fn says_not_run(&self) -> bool {
        matches!(self, ClientAnswer::Own { status, .. } if *status == UNAVAILABLE)
    }

    /// An answer of our own without a time to come back.
    #[must_use]
    pub fn own(status: u16) -> ClientAnswer {
        ClientAnswer::Own {
            status,
            come_back: None,
        }
    }
}

/// Answers a client's call, and writes the line that says how it ended.
pub async fn answer(shared: &Rc<MeshShared>, call: ClientCall) -> ClientAnswer {
    let index = shared.current_index();
    let mut story = CallStory::new(&call, index.number());
    let answer = if !shared.is_serving() {
        story.reason = "not_serving";
        refuse(NOT_YET)
    } else if let Some(route) = index.lookup(&call.headers.host, &call.head.target) {
        answer_on_route(shared, &index, route, call, &mut story).await
    } else {
        story.reason = "no_route";
        ClientAnswer::own(NOT_FOUND)
    };
    story.tell(shared, &answer);
    answer
}

async fn answer_on_route(
    shared: &Rc<MeshShared>,
    index: &RouteIndex,
    route: &RouteRule,
    mut call: ClientCall,
    story: &mut CallStory,
) -> ClientAnswer {
    let left = call.headers.time_left.map_or(route.timeout, |left| {
        left.saturating_sub(CLIENT_WAY).min(route.timeout)
    });
    let limit = call.received + left;
    story.route.clone_from(&route.name);
    let token = match admit(shared, index, route, &mut call, limit, story).await {
        Ok(token) => token,
        Err(answer) => return answer,
    };
    let progress = CallProgress::default();
    let placing = Placing::new(shared, route, call, limit, &progress, story);
    let answer = match tokio::time::timeout_at(limit.into(), placing.run()).await {
        Ok(answer) => answer,
        Err(_) if progress.may_have_run.get() || progress.in_attempt.get() => {
            story.reason = "time_up";
            ClientAnswer::own(TIMED_OUT)
        }
        Err(_) => {
            story.reason = "no_time_left";
            refuse(NOT_YET)
        }
    };
    if let (Some(token), true) = (token, answer.says_not_run()) {
        token.refund();
    }
    answer
}

fn refuse(come_back: Duration) -> ClientAnswer {
    ClientAnswer::Own {
        status: UNAVAILABLE,
        come_back: Some(come_back),
    }
}

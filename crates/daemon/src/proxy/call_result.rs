//! What a call ends with, once no further attempt is made.

use super::answer::ProxyAnswer;
use super::attempt::ForwardedCall;
use super::policy::NextStep;
use crate::counters::CallOutcome;

/// The answer to a call, and the outcome under which the call is counted.
pub(super) struct CallResult {
    pub(super) answer: ProxyAnswer,
    pub(super) outcome: CallOutcome,
}

/// The answer that `step` means, with the target's own if it is passed on.
pub(super) fn call_result(
    step: NextStep,
    answer: Option<ProxyAnswer>,
    service: &str,
    call: &ForwardedCall,
) -> CallResult {
    match (step, answer) {
        (NextStep::PassOn, Some(answer)) => {
            let outcome = if answer.status >= 500 {
                CallOutcome::Failed
            } else {
                CallOutcome::Answered
            };
            CallResult { answer, outcome }
        }
        (NextStep::SayNotRun, _) => {
            let text = format!("no target of service {service} can take the call now");
            CallResult {
                answer: ProxyAnswer::not_run(&call.request_id, &text),
                outcome: CallOutcome::NotRun,
            }
        }
        _ => {
            let text = format!(
                "outcome unknown: no whole answer from service {service}; request id {}",
                call.request_id
            );
            CallResult {
                answer: ProxyAnswer::unknown(&call.request_id, &text),
                outcome: CallOutcome::Unknown,
            }
        }
    }
}

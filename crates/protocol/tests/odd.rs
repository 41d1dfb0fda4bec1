//! Messages of peers with numbers that can't be.

use flamingowheel_policy::key::ServerKey;
use flamingowheel_protocol::permits::{
    ColdAllowance, ColdReport, LimitReport, PermitMessage, Verdict,
};
use std::time::Duration;

/// Times that are added to a clock must not end the process of the receiver, and rates must be
/// numbers.
#[test]
fn decode_odd_permit_message_malformed() {
    let server = ServerKey(1);
    let second = Duration::from_secs(1);
    let ask = |limit_per_s, age| {
        let report = LimitReport { limit_per_s: Some(limit_per_s), age };
        PermitMessage::Ask { number: 1, server, report, wants_permit: true }
    };
    let ask_cold = |rate_per_s, left| {
        let report = ColdReport { left, allowance: ColdAllowance { rate_per_s, most: 1 } };
        PermitMessage::AskCold { number: 1, server, report, wants_permit: true }
    };
    let answer = |wait| PermitMessage::Answer { number: 1, verdict: Verdict::Wait(wait) };
    let cold = |left| PermitMessage::BroadcastCold { server, left };
    let sound = [ask(1.0, second), ask_cold(1.0, second), answer(second), cold(second)];
    for message in sound {
        assert_eq!(PermitMessage::decode(&message.encode().unwrap()), Some(message));
    }
    let odd = [
        ask(1.0, Duration::MAX),
        ask(f64::NAN, second),
        ask(f64::INFINITY, second),
        ask(-1.0, second),
        ask_cold(1.0, Duration::MAX),
        ask_cold(f64::NAN, second),
        ask_cold(f64::NEG_INFINITY, second),
        answer(Duration::MAX),
        cold(Duration::MAX),
        cold(Duration::from_secs(u64::MAX / 2)),
    ];
    for message in odd {
        assert_eq!(PermitMessage::decode(&message.encode().unwrap()), None, "{message:?}");
    }
}

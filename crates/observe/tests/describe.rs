//! Tests of the sentence that describes each event.

use flamingowheel_observe::event::Event;
use serde_json::{Value, json};

/// Names of all events, from the error message of the decoder.
fn all_events() -> Vec<String> {
    let unknown = serde_json::from_str::<Event>(r#"{"event":"?"}"#).expect_err("no such event");
    let text = unknown.to_string();
    text.split('`').skip(3).step_by(2).map(str::to_owned).collect()
}

/// An event with all fields set: for each field that the decoder reports as missing, tries values
/// until one is accepted.
fn filled(name: &str) -> Event {
    let mut event = json!({ "event": name });
    let kinds = [json!(1), json!(true), json!("00000000-0000-0000-0000-000000000007")];
    loop {
        let error = match serde_json::from_value::<Event>(event.clone()) {
            Ok(event) => return event,
            Err(error) => error.to_string(),
        };
        let field = error.split('`').nth(1).expect("a missing field").to_owned();
        let reasons = accepted_values(&event, &field);
        let mut is_accepted = |value: &Value| {
            event[&field] = value.clone();
            let next = serde_json::from_value::<Event>(event.clone());
            next.map_or_else(|error| error.to_string().starts_with("missing field"), |_| true)
        };
        let found = kinds.iter().chain(&reasons).find(|value| is_accepted(value));
        assert!(found.is_some(), "{name}: {field}");
    }
}

/// The values of a closed set of reasons, from the error message of the decoder.
fn accepted_values(event: &Value, field: &str) -> Vec<Value> {
    let mut event = event.clone();
    event[field] = json!("?");
    match serde_json::from_value::<Event>(event) {
        Ok(_) => Vec::new(),
        Err(error) => error.to_string().split('`').skip(3).step_by(2).map(Into::into).collect(),
    }
}

// An event without a sentence would be an empty line in the timeline.
#[test]
fn describe_every_event_has_a_sentence() {
    let events = all_events();
    assert!(events.len() > 40, "{events:?}");
    let sentences: Vec<String> =
        events.iter().map(|name| format!("{name}: {}", filled(name))).collect();
    assert!(sentences.iter().all(|sentence| !sentence.ends_with(": ")), "{sentences:#?}");
    insta::assert_snapshot!(sentences.join("\n"));
}

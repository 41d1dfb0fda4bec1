//! Parsing, resolving and validating operators' documents.

use flamingowheel_config::desired::desired_model;
use flamingowheel_config::document::{DocumentError, Edit, parse};
use flamingowheel_config::effective::{
    ConfigRevision, Documents, EffectiveConfig, EffectiveWorkspace,
};
use flamingowheel_config::problem::Reason;
use flamingowheel_config::token::TokenHash;
use flamingowheel_config::validate::{Problem, validate};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::sync::Arc;

const TEMPLATE: &str = "\
kind: template
name: callbox
parameters:
  models: { callbox-7b: { adapters: [repair-notes] } }
  services:
    work-orders:
      routes:
        - { method: GET, path_prefix: /orders, idempotent: true }
        - { path_prefix: /orders, idempotent: false }
  limits: { requests_per_s: 50, in_flight: 32 }
rebalancing: { skew_weight: 4, move_weight: 1 }
";

fn workspace(name: &str, token: &str, rest: &str) -> String {
    let hash = TokenHash::of(token.as_bytes());
    format!("---\nkind: workspace\nname: {name}\ntemplate: callbox\ntoken_sha256: [{hash}]\n{rest}")
}

fn documents(text: &str) -> Documents {
    let mut documents = Documents::default();
    documents.apply(ConfigRevision(1), &parse(text).unwrap());
    documents
}

fn fields(problems: &[Problem]) -> Vec<(usize, &str)> {
    problems.iter().map(|problem| (problem.document, problem.field.as_str())).collect()
}

#[test]
fn effective_overrides_only_given_fields() {
    let overridden = workspace("bibb", "b", "overrides: { limits: { in_flight: 4 }, priority: 9 }");
    let plain = workspace("jones", "j", "");
    let effective = EffectiveConfig::new(&documents(&format!("{TEMPLATE}{overridden}\n{plain}")));
    let bibb = effective.workspace("bibb").unwrap();
    assert_eq!(bibb.parameters.limits.in_flight, Some(4));
    assert_eq!(bibb.parameters.limits.requests_per_s, Some(50.0));
    assert_eq!(bibb.parameters.priority, 9);
    let jones = effective.workspace("jones").unwrap();
    assert_eq!(jones.parameters.limits.in_flight, Some(32));
    assert!(Arc::ptr_eq(&jones.rebalancing, &bibb.rebalancing));
}

#[test]
fn effective_finds_workspace_by_token() {
    let effective =
        EffectiveConfig::new(&documents(&format!("{TEMPLATE}{}", workspace("bibb", "b", ""))));
    assert_eq!(&*effective.workspace_by_token(b"b").unwrap().name, "bibb");
    assert!(effective.workspace_by_token(b"c").is_none());
}

#[test]
fn effective_workspace_outlives_removal() {
    // A workspace is removed while one of its streams is in progress. The stream must keep the
    // limits it started with until it is complete; new requests are refused.
    let mut documents = documents(&format!("{TEMPLATE}{}", workspace("bibb", "b", "")));
    let held = Arc::clone(EffectiveConfig::new(&documents).workspace("bibb").unwrap());
    documents.apply(ConfigRevision(2), &[Edit::RemoveWorkspace("bibb".to_owned())]);
    assert!(EffectiveConfig::new(&documents).workspace("bibb").is_none());
    assert_eq!(held.parameters.limits.in_flight, Some(32));
}

#[test]
fn parse_unknown_field_names_line_of_file() {
    let text = format!("{TEMPLATE}---\nkind: workspace\nname: bibb\ntemplat: callbox\n");
    let errors = parse(&text).unwrap_err();
    assert!(
        matches!(errors[..], [DocumentError::Syntax { document: 2, line: 15, column: 1, .. }]),
        "{errors:?}"
    );
}

#[test]
fn parse_reports_syntax_of_every_document() {
    let errors = parse("kind: template\n---\nkind: nothing\n---\nkind: remove\n").unwrap_err();
    assert_eq!(errors.len(), 3, "{errors:?}");
}

#[test]
fn parse_empty_and_oversized() {
    assert_eq!(parse("---\n"), Err(vec![DocumentError::Empty]));
    let text = "#".repeat(300_000);
    assert_eq!(parse(&text), Err(vec![DocumentError::TooLarge { bytes: 300_000 }]));
}

#[test]
fn parse_refuses_alias_bomb() {
    let mut text = String::from("kind: template\nname: &a [x, x, x, x, x, x, x, x, x, x]\n");
    for level in 0..12 {
        let (from, to) = (char::from(b'a' + level), char::from(b'b' + level));
        text += &format!("{to}: &{to} [{}]\n", vec![format!("*{from}"); 10].join(", "));
    }
    assert!(parse(&text).is_err());
}

#[test]
fn validate_reports_every_problem() {
    let bad_template = "\
kind: template
name: Call Box
parameters:
  priority: 12
  limits: { requests_per_s: .nan, tokens_per_s: -1 }
  services: { orders: { routes: [{ method: get, path_prefix: orders, idempotent: false }] } }
";
    let first = workspace("bibb", "same", "overrides: { retry: { max_tries: 0 } }\n");
    let second = workspace("jones", "same", "");
    let edits = parse(&format!("{bad_template}{first}{second}")).unwrap();
    let problems = validate(&Documents::default(), &edits).unwrap_err();
    assert_eq!(
        fields(&problems),
        [
            (1, "name"),
            (1, "parameters.services.orders.routes[0].path_prefix"),
            (1, "parameters.services.orders.routes[0].method"),
            (1, "parameters.priority"),
            (1, "parameters.limits.requests_per_s"),
            (1, "parameters.limits.tokens_per_s"),
            (2, "template"),
            (2, "token_sha256[0]"),
            (2, "overrides.retry.max_tries"),
            (3, "template"),
            (3, "token_sha256[0]"),
        ]
    );
}

#[test]
fn validate_refuses_removal_of_template_in_use() {
    let base = documents(&format!("{TEMPLATE}{}", workspace("bibb", "b", "")));
    let removal = parse("kind: remove\ntemplate: callbox\n").unwrap();
    let problems = validate(&base, &removal).unwrap_err();
    assert_eq!(problems[0].reason, Reason::InUse { count: 1, example: "bibb".to_owned() });
    let both = parse("kind: remove\ntemplate: callbox\n---\nkind: remove\nworkspace: bibb\n");
    assert_eq!(validate(&base, &both.unwrap()), Ok(()));
}

#[test]
fn validate_same_document_twice() {
    let text = format!("{TEMPLATE}{0}{0}", workspace("bibb", "b", ""));
    let problems = validate(&Documents::default(), &parse(&text).unwrap()).unwrap_err();
    assert_eq!(fields(&problems), [(3, "name")]);
}

#[test]
fn page_examples_are_valid() {
    let page = include_str!("../../../docs/operations/configuration.md");
    let blocks = page.split("```yaml\n").skip(1);
    let examples: Vec<&str> = blocks.filter_map(|rest| rest.split("```").next()).collect();
    assert_eq!(examples.len(), 2);
    for example in examples {
        assert_eq!(validate(&Documents::default(), &parse(example).unwrap()), Ok(()), "{example}");
    }
}

/// Results of lookups by name and by token, for names and tokens `w0` to `w5`.
fn lookups(effective: &EffectiveConfig) -> Vec<(Option<EffectiveWorkspace>, Option<String>)> {
    let look_up = |number: usize| {
        let name = format!("w{number}");
        let by_token = effective.workspace_by_token(name.as_bytes());
        let by_name = effective.workspace(&name).map(|workspace| (**workspace).clone());
        (by_name, by_token.map(|workspace| workspace.name.to_string()))
    };
    (0..6).map(look_up).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Several workspaces per change are created, removed, moved to another template or given the
    // token of another. The incremental update must equal a full build.
    #[test]
    fn effective_with_edits_equals_new(
        changes in prop::collection::vec(
            prop::collection::btree_map(0..6_u8, (0..3_u8, 0..6_u8, 0..3_u8), 1..4), 1..12
        )
    ) {
        let mut documents = documents(&format!("{TEMPLATE}---\nkind: template\nname: other\n"));
        let mut effective = EffectiveConfig::new(&documents);
        for change in changes {
            let mut edits = Vec::new();
            for (name, (kind, token, priority)) in change {
                let name = format!("w{name}");
                let template = if priority == 0 { "other" } else { "callbox" };
                let text = workspace(&name, &format!("w{token}"), &format!("overrides: {{ priority: {priority} }}"));
                match kind {
                    0 => edits.push(Edit::RemoveWorkspace(name)),
                    _ => edits.extend(parse(&text.replace("template: callbox", &format!("template: {template}"))).unwrap()),
                }
            }
            if validate(&documents, &edits).is_err() {
                continue;
            }
            documents.apply(documents.revision.next(), &edits);
            effective = effective.with_edits(&documents, &edits);
            prop_assert_eq!(lookups(&effective), lookups(&EffectiveConfig::new(&documents)));
            prop_assert_eq!(effective.revision(), documents.revision);
        }
    }
}

// After text that is not YAML the parser returns the same error without end. An entry that received
// such text from an operator would loop until its memory is exhausted.
#[test]
fn parse_not_yaml_terminates() {
    for text in ["[", "{", "@", "kind: remove\nworkspace: a\n---\n@"] {
        let errors = parse(text).unwrap_err();
        assert!((1..=2).contains(&errors.len()), "{errors:?}");
    }
}

// The YAML parser panics on an alias without an anchor, which aborted the operator's call without
// an error message.
#[test]
fn parse_alias_without_anchor() {
    assert!(parse("kind: remove\nworkspace: [*a]\n").is_err());
    assert!(parse("a: [*a]\n").is_err());
}

fn template_of(name: &str, model: &str) -> String {
    format!("kind: template\nname: {name}\nparameters: {{models: {{notes: {model}}}}}\n---\n")
}

/// Two operators name different versions of a model. All ranks of a group serve one version, so one
/// of the two would be accepted but never served.
#[test]
fn validate_refuses_second_version_unless_changed_together() {
    let old = format!("{}{}", template_of("a", "{version: '1'}"), template_of("b", "{}"));
    let base = documents(&old);
    let check = |text: &str| {
        let problems = validate(&base, &parse(text).unwrap());
        problems
            .err()
            .unwrap_or_default()
            .into_iter()
            .map(|p| (p.field, p.reason))
            .collect::<Vec<_>>()
    };
    let refused = check(&template_of("b", "{version: '2'}"));
    let reason = Reason::OtherVersion {
        value: "2".to_owned(),
        other: "1".to_owned(),
        holder: "template `a`".to_owned(),
    };
    assert_eq!(refused, [("parameters.models.notes.version".to_owned(), reason)]);
    let overrides = "overrides: {models: {notes: {version: '3'}}}\n";
    let overridden = workspace("bibb", "t", overrides).replace("callbox", "a");
    assert_eq!(check(&overridden).len(), 1);
    let both =
        format!("{}{}", template_of("a", "{version: '2'}"), template_of("b", "{version: '2'}"));
    assert_eq!(check(&both), []);
}

#[test]
fn desired_model_merges_adapters_and_finds_the_version() {
    let templates = format!(
        "{}{}",
        template_of("a", "{adapters: [x, y]}"),
        template_of("b", "{version: '2', adapters: [y, z]}")
    );
    let of = |name: &str, template: &str| workspace(name, name, "").replace("callbox", template);
    let documents = documents(&format!("{templates}{}{}", of("bibb", "a"), of("jones", "b")));
    let desired = desired_model(&EffectiveConfig::new(&documents), "notes").unwrap();
    assert_eq!(desired.version.as_deref(), Some("2"));
    assert_eq!(desired.adapters.iter().collect::<Vec<_>>(), ["x", "y", "z"]);
}

//! Parsing of settings files: accepted values, and the position or field in errors.

use flamingowheel_config::problem::Reason;
use flamingowheel_config::settings::{BackendServerKind, Role, Settings, SettingsError};
use std::path::Path;

const COMMON: &str = "\
name: a1
vm: vm-1
data_centre: macon-1
region: ga-central
key_value: { addresses: ['127.0.0.1:2379'] }
vm_list: { address: '127.0.0.1:8500' }
fleet_key: { inline: 0123456789abcdef }
operators_token: { inline: fedcba9876543210 }
";
const ENTRY: &str = "\
role: entry
listen: { callers: '127.0.0.1:80', inner: '127.0.0.1:81', operators: '127.0.0.1:82' }
";
const AGENT: &str = "\
role: agent
listen: { inner: '127.0.0.1:81', operators: '127.0.0.1:82' }
agent:
  backend_server: 127.0.0.1:9000
";

fn parse(parts: &[&str]) -> Result<Settings, SettingsError> {
    Settings::parse(&parts.concat(), Path::new("daemon.yaml"))
}

fn problems(parts: &[&str]) -> Vec<(String, Reason)> {
    match parse(parts) {
        Err(SettingsError::Invalid { problems, .. }) => {
            problems.into_iter().map(|problem| (problem.field, problem.reason)).collect()
        }
        other => panic!("expected problems, got {other:?}"),
    }
}

#[test]
fn parse_entry_with_defaults() {
    let settings = parse(&[COMMON, ENTRY]).unwrap();
    let Role::Entry(entry) = settings.role else { panic!("not an entry") };
    assert_eq!(entry.address_ttl_s, 20);
    assert_eq!(settings.fleet_key.expose(), b"0123456789abcdef");
}

#[test]
fn parse_agent_of_each_kind() {
    let engine =
        parse(&[COMMON, AGENT, "  kind: engine\n  model: m\n  group: g\n  rank: 3\n  ranks: 32\n"]);
    let Role::Agent(agent) = engine.unwrap().role else { panic!("not an agent") };
    assert!(matches!(agent.kind, BackendServerKind::Engine { rank: 3, ranks: 32, .. }));

    let service = parse(&[COMMON, AGENT, "  kind: service\n  service: work-orders\n"]);
    let Role::Agent(agent) = service.unwrap().role else { panic!("not an agent") };
    assert_eq!(agent.kind, BackendServerKind::Service { service: "work-orders".to_owned() });
}

#[test]
fn parse_unknown_field_names_line() {
    // If a misspelt field were ignored, its default would stay in force unnoticed, and the intended
    // limit would not hold.
    let error = parse(&[COMMON, ENTRY, "entry:\n  max_body_byte: 5\n"]).unwrap_err();
    let SettingsError::Syntax { line, column, .. } = &error else { panic!("{error:?}") };
    assert_eq!((*line, *column), (12, 3));
    assert!(error.to_string().starts_with("daemon.yaml:12:3: "), "{error}");
}

#[test]
fn parse_wrong_type_names_line() {
    let error = parse(&[COMMON, ENTRY, "peers:\n  - 127.0.0.1:81\n  - elsewhere\n"]).unwrap_err();
    assert!(matches!(error, SettingsError::Syntax { line: 13, .. }), "{error:?}");
}

#[test]
fn parse_reports_every_problem() {
    let text = COMMON.replace("0123456789abcdef", "short").replace("a1", "A 1");
    let found = problems(&[&text, AGENT, "  kind: engine\n  rank: 3\n  places: 0\nentry: {}\n"]);
    let fields: Vec<&str> = found.iter().map(|(field, _)| field.as_str()).collect();
    assert_eq!(
        fields,
        [
            "name",
            "fleet_key (length)",
            "entry",
            "agent.places",
            "agent.model",
            "agent.group",
            "agent.ranks"
        ]
    );
}

#[test]
fn parse_secret_with_two_sources_or_unreadable_file() {
    let text = COMMON.replace("{ inline: 0123456789abcdef }", "{ inline: a, file: b }");
    assert_eq!(problems(&[&text, ENTRY]), [("fleet_key.inline".to_owned(), Reason::Unexpected)]);
    let text = COMMON.replace("{ inline: 0123456789abcdef }", "{ file: no/such/file }");
    let found = problems(&[&text, ENTRY]);
    assert!(matches!(found[0].1, Reason::Unreadable { .. }), "{found:?}");
}

#[test]
fn debug_hides_secrets() {
    let shown = format!("{:?}", parse(&[COMMON, ENTRY]).unwrap());
    assert!(!shown.contains("0123456789abcdef") && !shown.contains("fedcba9876543210"), "{shown}");
}

// The YAML parser panics on an alias without an anchor. The daemon must report an error instead of
// crashing.
#[test]
fn parse_alias_without_anchor() {
    let broken = COMMON.replace("['127.0.0.1:2379']", "[*a]");
    assert!(matches!(parse(&[&broken, ENTRY]), Err(SettingsError::Syntax { .. })));
}

const STORE: &str = "\
entry:
  weight_store:
    rate_bytes_per_s: 40000000000
    max_members: 380
    expert_bytes: 40000000
    rank_bytes: 40000000000
    adapter_bytes: 200000000
";

#[test]
fn parse_weight_store() {
    let settings = parse(&[COMMON, ENTRY, STORE]).unwrap();
    let Role::Entry(entry) = settings.role else { panic!("not an entry") };
    assert_eq!(entry.weight_store.unwrap().max_members, 380);
    let zero_members = STORE.replace("max_members: 380", "max_members: 0");
    assert_eq!(problems(&[COMMON, ENTRY, &zero_members])[0].0, "entry.weight_store.max_members");
    let misspelt = STORE.replace("expert_bytes", "expert_byte");
    let error = parse(&[COMMON, ENTRY, &misspelt]).unwrap_err();
    assert!(matches!(error, SettingsError::Syntax { line: 15, .. }), "{error}");
}

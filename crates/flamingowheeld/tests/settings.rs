//! Starts that must fail with a clear error.

use flamingowheel_config::settings::{Settings, SettingsError};
use flamingowheel_daemon::agent::{AgentProcess, recorder};
use flamingowheel_daemon::listen::StartError;
use std::path::Path;
use tokio::net::TcpListener;

fn settings(inner: &str) -> String {
    format!(
        "name: orders-1\nvm: vm-1\ndata_centre: a\nregion: r\nrole: agent\n\
         listen: {{inner: \"{inner}\", operators: \"127.0.0.1:0\"}}\n\
         key_value: {{addresses: [\"127.0.0.1:1\"]}}\nvm_list: {{address: \"127.0.0.1:1\"}}\n\
         fleet_key: {{inline: a-fleet-key-of-32-characters-long}}\n\
         operators_token: {{inline: an-operators-token}}\n\
         agent: {{backend_server: \"127.0.0.1:1\", kind: service, service: orders}}\n"
    )
}

// Another process uses the port, for example an older one that is still draining. The error must
// name the address and its purpose.
#[tokio::test]
async fn start_address_in_use() {
    let occupied = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = occupied.local_addr().unwrap();
    let text = settings(&address.to_string());
    let settings = Settings::parse(&text, Path::new("agent.yaml")).unwrap();
    let started = AgentProcess::start(&settings, recorder(&settings).unwrap()).await;
    let error = started.err().unwrap();
    assert!(matches!(error, StartError::Bind { address: named, .. } if named == address));
}

// A misspelt key would otherwise be ignored silently and its default used.
#[test]
fn parse_unknown_key_names_its_line() {
    let text = settings("127.0.0.1:0") + "drain_deadline: 5\n";
    let error = Settings::parse(&text, Path::new("agent.yaml")).unwrap_err();
    assert!(matches!(error, SettingsError::Syntax { line: 12, .. }), "{error}");
    assert!(error.to_string().starts_with("agent.yaml:12:"), "{error}");
}

//! Tests of help texts and invalid command lines.

use crate::session::{ClosedPort, run_line};

#[tokio::test]
async fn help_all_texts() {
    let mut shown = vec![run_line("--help", &[]).await];
    let commands = ["apply", "get", "diff", "history", "change", "status", "timeline", "entries"];
    for command in commands {
        shown.push(run_line(&format!("{command} --help"), &[]).await);
    }
    assert!(shown.iter().flat_map(|text| text.lines()).all(|line| line.chars().count() <= 100));
    insta::assert_snapshot!(shown.join("\n\n"));
}

#[tokio::test]
async fn command_line_invalid_names_the_error() {
    let closed = ClosedPort::new();
    let entries = [closed.address()];
    let lines = [
        "",
        "applly",
        "apply",
        "apply -f tests/documents/none.yaml",
        "get",
        "change",
        "diff",
        "entries",
        "status --entry localhost",
        "status more",
        "get agents",
        "get workspaces Bibb",
        "timeline",
        "timeline --request 12",
        "timeline --since soon",
        "change 8",
        "apply -f tests/documents/change.yaml --seen newest",
    ];
    let mut shown = Vec::new();
    for line in lines {
        shown.push(run_line(line, &entries).await);
    }
    assert!(shown.iter().all(|text| text.ends_with("[exit 2 Usage]")), "{shown:#?}");
    insta::assert_snapshot!(shown.join("\n\n"));
}

#[tokio::test]
async fn command_line_without_entries_is_usage() {
    let shown = run_line("status", &[]).await;
    assert!(shown.contains("no entry given"), "{shown}");
}

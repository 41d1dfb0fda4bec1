//! Help texts and wrong command lines.

use crate::session::{Closed, typing};

#[tokio::test]
async fn help_all_texts() {
    let mut shown = vec![typing("--help", &[]).await];
    let commands = ["apply", "get", "diff", "history", "change", "status", "timeline", "entries"];
    for command in commands {
        shown.push(typing(&format!("{command} --help"), &[]).await);
    }
    assert!(shown.iter().flat_map(|text| text.lines()).all(|line| line.chars().count() <= 100));
    insta::assert_snapshot!(shown.join("\n\n"));
}

#[tokio::test]
async fn command_line_wrong_says_what_is_meant() {
    let closed = Closed::new();
    let somewhere = [closed.address()];
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
        shown.push(typing(line, &somewhere).await);
    }
    assert!(shown.iter().all(|text| text.ends_with("[exit 2 Usage]")), "{shown:#?}");
    insta::assert_snapshot!(shown.join("\n\n"));
}

#[tokio::test]
async fn command_line_without_entries_is_usage() {
    let shown = typing("status", &[]).await;
    assert!(shown.contains("no entry given"), "{shown}");
}

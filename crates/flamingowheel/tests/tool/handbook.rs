//! Checks that commands, documents and settings in the handbook are valid as printed.

use std::path::Path;

use flamingowheel::cli::{Invocation, parse};
use flamingowheel::config::{Config, Environment};
use flamingowheel_config::document;
use flamingowheel_config::effective::Documents;
use flamingowheel_config::settings::Settings;
use flamingowheel_config::validate::validate;

const FIRST_DAY: &str = include_str!("../../../../docs/operations/first-day.md");
const PAGES: &[&str] = &[
    FIRST_DAY,
    include_str!("../../../../docs/operations/alarms.md"),
    include_str!("../../../../docs/operations/data-centre-lost.md"),
    include_str!("../../../../docs/operations/hand-over.md"),
    include_str!("../../../../docs/operations/key-value-service-down.md"),
    include_str!("../../../../docs/operations/rolling-replacement.md"),
    include_str!("../../../../docs/operations/routine-change.md"),
    include_str!("../../../../docs/operations/timeline.md"),
];

const SOME_ID: &str = "0193a000-0000-7000-8000-000012345678";
const SOME_FILE: &str = "tests/documents/change.yaml";
const SOME_HASH: &str = "0000000000000000000000000000000000000000000000000000000000000000";

/// Code blocks of a language; an empty language selects shell blocks.
fn blocks(page: &'static str, language: &str) -> Vec<&'static str> {
    let fences: Vec<&str> = page.split("\n```").collect();
    let inside = fences.into_iter().skip(1).step_by(2);
    inside.filter_map(|block| block.strip_prefix(language)?.strip_prefix('\n')).collect()
}

/// Splits a shell line into words, without redirections and comments.
fn words(line: &str) -> Vec<String> {
    let line = line.split(" > ").next().unwrap_or(line);
    let line = line.split(" #").next().unwrap_or(line);
    let mut words = Vec::new();
    for (index, part) in line.split('"').enumerate() {
        if index % 2 == 1 {
            words.push(part.to_owned());
        } else {
            words.extend(part.split_whitespace().map(str::to_owned));
        }
    }
    words
}

/// Replaces placeholders by valid values.
fn fill_placeholder(word: String) -> String {
    match word.as_str() {
        word if word.ends_with(".yaml") => SOME_FILE.to_owned(),
        "operators-token" => "tests/documents/wrong-token".to_owned(),
        "REVISION_SHOWN_BY_DIFF" => "7".to_owned(),
        "ID_FROM_THE_HEADER_flamingowheel-request" => SOME_ID.to_owned(),
        "NAME" => "callbox".to_owned(),
        _ => word.replace(":PORT", ":8082"),
    }
}

fn command_lines() -> Vec<String> {
    let shell = PAGES.iter().flat_map(|page| blocks(page, ""));
    let lines = shell.flat_map(str::lines).filter(|line| line.starts_with("flamingowheel "));
    lines.map(str::to_owned).collect()
}

#[test]
fn handbook_commands_are_understood() {
    let environment = Environment::default()
        .with("FLAMINGOWHEEL_ENTRIES", "127.0.0.1:8082")
        .with("FLAMINGOWHEEL_TOKEN", "operators-token")
        .with("USER", "maria");
    let lines = command_lines();
    assert!(lines.len() > 10, "{lines:#?}");
    for line in lines {
        let arguments =
            words(&line).into_iter().skip(1).map(fill_placeholder).map(Into::into).collect();
        let Ok(Invocation::Run(args)) = parse(arguments) else { panic!("{line}") };
        if let Err(error) = Config::new(*args, &environment) {
            panic!("{line}: {error}");
        }
    }
}

#[test]
fn handbook_documents_are_accepted() {
    let documents = blocks(FIRST_DAY, "yaml");
    let documents: Vec<&&str> =
        documents.iter().filter(|text| text.contains("kind: template")).collect();
    assert_eq!(documents.len(), 1);
    let text = documents[0].replace("PUT_THE_HASH_HERE", &format!("\"{SOME_HASH}\""));
    let edits = document::parse(&text).expect("documents");
    assert_eq!(validate(&Documents::default(), &edits), Ok(()));
}

#[test]
fn handbook_settings_are_accepted() {
    let blocks = blocks(FIRST_DAY, "yaml");
    let entry = blocks.iter().find(|text| text.contains("role: entry")).expect("an entry");
    let agent = blocks.iter().find(|text| text.contains("role: agent")).expect("an agent");
    let entry = with_inline_secrets(entry);
    let common: String = entry
        .lines()
        .filter(|line| !line.contains("role:") && !line.contains("callers:"))
        .fold(String::new(), |text, line| text + line + "\n");
    for text in [&entry, &format!("{common}{agent}")] {
        if let Err(error) = Settings::parse(text, Path::new("first-day.md")) {
            panic!("{error}");
        }
    }
}

fn with_inline_secrets(text: &str) -> String {
    text.replace("file: /run/flamingowheel/", "inline: sixteen-bytes-of-")
}

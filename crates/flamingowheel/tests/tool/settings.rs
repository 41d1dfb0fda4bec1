//! Checks the reference page of settings and documents against the fields that the code accepts.

use std::collections::BTreeSet;
use std::path::Path;

use flamingowheel_config::document;
use flamingowheel_config::settings::Settings;

const PAGE: &str = include_str!("../../../../docs/operations/settings.md");

/// Fields in the page's table under a heading.
fn documented_fields(heading: &str) -> BTreeSet<&'static str> {
    let (_, rest) = PAGE.split_once(&format!("\n### {heading}\n")).expect("the heading");
    let section = rest.split("\n#").next().unwrap_or(rest);
    let rows = section.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split('`').next()).collect()
}

/// Fields that a decoder lists in its error about an unknown field.
fn accepted_fields(error: &str) -> BTreeSet<String> {
    let (_, fields) = error.split_once("unknown field").expect("an error about an unknown field");
    fields.split('`').skip(3).step_by(2).map(str::to_owned).collect()
}

fn settings_fields(text: &str) -> BTreeSet<String> {
    let error = Settings::parse(text, Path::new("settings.yaml")).expect_err("no such field");
    accepted_fields(&error.to_string())
}

fn document_fields(text: &str) -> BTreeSet<String> {
    let error = document::parse(text).expect_err("no such field");
    accepted_fields(&error[0].to_string())
}

fn assert_lists(heading: &str, fields: &BTreeSet<String>) {
    assert!(fields.len() > 1, "{heading}: {fields:?}");
    let fields: BTreeSet<&str> = fields.iter().map(String::as_str).collect();
    assert_eq!(documented_fields(heading), fields, "{heading}");
}

#[test]
fn settings_page_lists_every_field() {
    assert_lists("All processes", &settings_fields("none: 1\n"));
    assert_lists("Secrets", &settings_fields("fleet_key: {none: 1}\n"));
    for section in ["listen", "key_value", "vm_list", "entry", "agent"] {
        let fields = settings_fields(&format!("{section}: {{none: 1}}\n"));
        assert_lists(&format!("`{section}`"), &fields);
    }
}

#[test]
fn settings_page_lists_every_document_field() {
    assert_lists("Template", &document_fields("kind: template\nnone: 1\n"));
    assert_lists("Workspace", &document_fields("kind: workspace\nnone: 1\n"));
    assert_lists("Removal", &document_fields("kind: remove\nnone: 1\n"));
    let parameters = "kind: template\nname: a\nparameters: ";
    let overrides = "kind: workspace\nname: a\noverrides: ";
    for document in [parameters, overrides] {
        let fields = document_fields(&format!("{document}{{none: 1}}\n"));
        assert_lists("`parameters` and `overrides`", &fields);
    }
    for section in ["limits", "retry"] {
        let fields = document_fields(&format!("{parameters}{{{section}: {{none: 1}}}}\n"));
        assert_lists(&format!("`{section}`"), &fields);
    }
    let fields = document_fields("kind: template\nname: a\nrebalancing: {none: 1}\n");
    assert_lists("`rebalancing`", &fields);
}

//! The reference of settings and documents against the fields that the code takes.

use std::collections::BTreeSet;
use std::path::Path;

use flamingowheel_config::document;
use flamingowheel_config::settings::Settings;

const PAGE: &str = include_str!("../../../../docs/operations/settings.md");

/// Fields of the table under a heading.
fn listed(heading: &str) -> BTreeSet<&'static str> {
    let (_, rest) = PAGE.split_once(&format!("\n### {heading}\n")).expect("the heading");
    let section = rest.split("\n#").next().unwrap_or(rest);
    let rows = section.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split('`').next()).collect()
}

/// The fields that a decoder lists when it meets one that it doesn't know.
fn expected(error: &str) -> BTreeSet<String> {
    let (_, fields) = error.split_once("unknown field").expect("a field that is not known");
    fields.split('`').skip(3).step_by(2).map(str::to_owned).collect()
}

fn settings_fields(text: &str) -> BTreeSet<String> {
    let refused = Settings::parse(text, Path::new("settings.yaml")).expect_err("no such field");
    expected(&refused.to_string())
}

fn document_fields(text: &str) -> BTreeSet<String> {
    let refused = document::parse(text).expect_err("no such field");
    expected(&refused[0].to_string())
}

fn assert_lists(heading: &str, fields: &BTreeSet<String>) {
    assert!(fields.len() > 1, "{heading}: {fields:?}");
    let fields: BTreeSet<&str> = fields.iter().map(String::as_str).collect();
    assert_eq!(listed(heading), fields, "{heading}");
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

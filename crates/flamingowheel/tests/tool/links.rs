//! Tests of links between the documentation's pages.

use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Lists the pages of a folder, recursively.
fn pages(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("a folder");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    paths.flat_map(|path| if path.is_dir() { pages(&path) } else { vec![path] }).collect()
}

/// Targets of links within the repository.
fn targets(page: &str) -> impl Iterator<Item = &str> {
    let links = page.split("](").skip(1).filter_map(|rest| rest.split(')').next());
    links.filter(|link| !link.contains("://")).filter_map(|link| link.split('#').next())
}

#[test]
fn pages_link_to_what_exists() {
    let mut checked = 0;
    for path in pages(&root().join("docs")) {
        let page = std::fs::read_to_string(&path).expect("a page");
        let folder = path.parent().expect("a folder");
        for target in targets(&page).filter(|target| !target.is_empty()) {
            assert!(folder.join(target).exists(), "{}: {target}", path.display());
            checked += 1;
        }
    }
    assert!(checked > 10, "{checked} links");
}

// A page that the index does not list is not found when it is needed.
#[test]
fn handbook_lists_every_page() {
    let folder = root().join("docs/operations");
    let index = std::fs::read_to_string(folder.join("README.md")).expect("the index");
    for page in pages(&folder) {
        let name = page.file_name().and_then(|name| name.to_str()).expect("a name");
        assert!(name == "README.md" || index.contains(&format!("({name})")), "{name}");
    }
}

//! Lists the keys of a store that returns them in pages.
//!
//! Pages are read one after the other, and each shows the store at a revision of its own. Those of
//! a stale read may come from replicas that lag differently, so a later page may be the older one.

use crate::kv::{KeyValueEntry, KeyValueError, Revision, Snapshot};

/// Largest size of a listing, in bytes of keys and values.
const MAX_BYTES: usize = 48 * 1024 * 1024;

/// One page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The entries, sorted by key.
    pub entries: Vec<KeyValueEntry>,
    /// Whether there are keys after the last one of this page.
    pub has_more: bool,
    /// The revision at which the page shows the store.
    pub revision: Revision,
}

/// The pages read so far.
///
/// ```
/// use flamingowheel_backing::kv::Revision;
/// use flamingowheel_backing::listing::{Listing, Page};
/// let mut listing = Listing::default();
/// listing.add(Page { revision: Revision(7), ..Page::default() }).unwrap();
/// assert!(listing.is_whole());
/// assert_eq!(listing.into_snapshot().revision, Revision(7));
/// ```
#[derive(Debug, Default)]
pub struct Listing {
    entries: Vec<KeyValueEntry>,
    page_revisions: Vec<Revision>,
    bytes: usize,
    is_whole: bool,
}

impl Listing {
    /// The key after which the next page begins; `None` before the first page.
    pub fn last_key(&self) -> Option<&str> {
        self.entries.last().map(|entry| entry.key.as_str())
    }

    /// Whether the last page has been added.
    pub fn is_whole(&self) -> bool {
        self.is_whole
    }

    /// Adds the next page.
    ///
    /// # Errors
    ///
    /// If its keys do not follow those of the pages before, or if the listing gets too large. A
    /// store that repeats itself would otherwise be read without end.
    pub fn add(&mut self, page: Page) -> Result<(), KeyValueError> {
        if page.has_more && page.entries.is_empty() {
            return Err(KeyValueError::Malformed { what: "page without keys" });
        }
        for entry in page.entries {
            if self.last_key().is_some_and(|last_key| entry.key.as_str() <= last_key) {
                return Err(KeyValueError::Malformed { what: "order of keys" });
            }
            self.bytes += entry.key.len() + entry.value.len();
            if self.bytes > MAX_BYTES {
                return Err(KeyValueError::Malformed { what: "size of the listing" });
            }
            self.entries.push(entry);
        }
        self.page_revisions.push(page.revision);
        self.is_whole = !page.has_more;
        Ok(())
    }

    /// All entries, at the lowest revision of the pages. Entries may be newer than that, but no
    /// change up to it is missing, so reading the changes after it completes the listing.
    pub fn into_snapshot(self) -> Snapshot {
        let revision = self.page_revisions.iter().min().copied().unwrap_or_default();
        if self.page_revisions.iter().any(|page_revision| *page_revision != revision) {
            let page_revisions: Vec<u64> = self.page_revisions.iter().map(|page| page.0).collect();
            tracing::info!(?page_revisions, "pages differ in revision");
        }
        Snapshot { revision, entries: self.entries }
    }
}

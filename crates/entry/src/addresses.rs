//! The address question: which entries a workspace's callers should use.

use crate::agents::Target;
use flamingowheel_config::effective::EffectiveWorkspace;
use flamingowheel_policy::key::{DataCentreKey, EntryKey, ScopeKey, ServerKey, WorkspaceKey};
use flamingowheel_policy::subset::{Cells, EntryInfo, SubsetConfig};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Expected of a workspace without a limit, in requests a second.
const DEFAULT_RATE_PER_S: f64 = 10.0;

/// What decides a workspace's subset: the scopes of its models and services, and the rate in
/// requests a second that it is expected to send.
pub fn demand(workspace: &EffectiveWorkspace) -> (Vec<ScopeKey>, f64) {
    let parameters = &workspace.parameters;
    let models = parameters.models.keys().cloned().map(Target::Model);
    let services = parameters.services.keys().cloned().map(Target::Service);
    let scopes = models.chain(services).map(|target| target.scope()).collect();
    (scopes, parameters.limits.requests_per_s.unwrap_or(DEFAULT_RATE_PER_S))
}

/// An entry that callers may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryMember {
    /// Its name.
    pub name: String,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// The data centre it runs in.
    pub data_centre: String,
    /// It takes no new callers.
    pub leaving: bool,
}

/// The answer to the address question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// Addresses in the order in which to try them.
    pub addresses: Vec<Address>,
    /// How long the answer may be kept, in seconds.
    pub keep_s: u64,
}

/// One address of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// IP address and port.
    pub address: SocketAddr,
    /// The data centre it is in.
    pub data_centre: String,
}

/// Backend servers of one model or service, as the subset choice groups them.
pub type Scope = (ScopeKey, Vec<ServerKey>);

/// Everything needed to answer; built whenever the membership changes.
#[derive(Clone, Debug)]
pub struct AddressBook {
    cells: Cells,
    members: HashMap<EntryKey, EntryMember>,
}

impl AddressBook {
    /// Builds the book.
    ///
    /// ```
    /// use flamingowheel_entry::addresses::{AddressBook, EntryMember};
    /// use std::time::Duration;
    /// let member = EntryMember {
    ///     name: "entry-1".into(),
    ///     address: "127.0.0.1:8080".parse().unwrap(),
    ///     data_centre: "ga-a".into(),
    ///     leaving: false,
    /// };
    /// let book = AddressBook::new(&[], vec![member]);
    /// let answer = book.answer("peachline", &[], 1.0, "ga-a", Duration::from_secs(20));
    /// assert_eq!(answer.addresses.len(), 1);
    /// ```
    pub fn new(scopes: &[Scope], members: Vec<EntryMember>) -> Self {
        let infos: Vec<EntryInfo> = members
            .iter()
            .map(|member| EntryInfo {
                key: EntryKey::from_name(&member.name),
                data_centre: DataCentreKey::from_name(&member.data_centre),
                weight: 1.0,
                leaving: member.leaving,
            })
            .collect();
        let cells = Cells::build(SubsetConfig::default(), scopes, &infos);
        let members = members.into_iter().map(|m| (EntryKey::from_name(&m.name), m)).collect();
        Self { cells, members }
    }

    /// The entries that share a workspace's limits.
    pub fn subset(&self, workspace: &str, scopes: &[ScopeKey], rate_per_s: f64) -> Vec<EntryKey> {
        self.cells.subset(WorkspaceKey::from_name(workspace), scopes, rate_per_s)
    }

    /// Answers for a workspace that uses `scopes` and is expected to send `rate_per_s`.
    pub fn answer(
        &self,
        workspace: &str,
        scopes: &[ScopeKey],
        rate_per_s: f64,
        data_centre: &str,
        ttl: Duration,
    ) -> AddressAnswer {
        let own = DataCentreKey::from_name(data_centre);
        let workspace = WorkspaceKey::from_name(workspace);
        let entries = self.cells.entries_for(workspace, scopes, rate_per_s, own);
        let members = entries.iter().filter_map(|entry| self.members.get(entry));
        let addresses = members
            .map(|member| Address {
                address: member.address,
                data_centre: member.data_centre.clone(),
            })
            .collect();
        AddressAnswer { addresses, keep_s: ttl.as_secs() }
    }
}

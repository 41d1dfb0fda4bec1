//! The operators' configuration in one process.

use std::sync::Arc;

use flamingowheel_config::bucket;
use flamingowheel_config::change::{Change, ChangeId, Origin};
use flamingowheel_config::document::Edit;
use flamingowheel_config::effective::{ConfigRevision, Documents, EffectiveConfig, Stored};
use flamingowheel_config::replica::Replica;
use flamingowheel_config::template::{Limits, Model, Parameters, Template};
use flamingowheel_config::token::TokenHash;
use flamingowheel_config::workspace::{Overrides, Workspace};
use flamingowheel_control::node::Node;
use flamingowheel_observe::reason::ConfigSource;
use flamingowheel_observe::recorder::Recorder;
use stats_alloc::Region;
use uuid::Uuid;

use crate::membership::member;
use crate::{ALLOCATOR, Failure, SIZE_DIVISOR, WORKSPACES, bytes_each, cpu_us_each, print};

fn template() -> Template {
    let models = (0..3).map(|n| (format!("model-{n}"), Model::default())).collect();
    Template {
        name: "standard".to_owned(),
        description: String::new(),
        parameters: Parameters { models, ..Parameters::default() },
        rebalancing: Default::default(),
    }
}

/// One workspace with one token and its own limits.
fn workspace(number: usize) -> Workspace {
    let limits = Limits {
        requests_per_s: Some(10.0 + number as f64),
        tokens_per_s: Some(2_000.0),
        in_flight: Some(32),
    };
    Workspace {
        name: format!("workspace-{number:05}"),
        template: "standard".to_owned(),
        token_sha256: vec![TokenHash::of(&number.to_le_bytes())],
        overrides: Overrides { limits: Some(limits), ..Overrides::default() },
    }
}

fn documents(count: usize) -> Documents {
    let revision = ConfigRevision(1);
    let mut documents = Documents { revision, ..Documents::default() };
    documents.put_template(Stored { revision, document: Arc::new(template()) });
    for number in 0..count {
        let document = Arc::new(workspace(number));
        documents.put_workspace(Stored { revision, document });
    }
    documents
}

fn change(revision: u64) -> Change {
    let id = ChangeId { revision: ConfigRevision(revision), uuid: Uuid::now_v7() };
    let origin = Origin { operator: "operator".to_owned(), at_unix_ms: 0, comment: String::new() };
    let edits = vec![Edit::PutWorkspace(workspace(revision as usize % WORKSPACES))];
    Change { id, origin, edits, voids: None }
}

pub fn measure() -> Result<(), Failure> {
    print("config_documents_bytes_per_workspace", bytes_each(WORKSPACES, documents));
    let effective = |count| {
        let documents = documents(count);
        (EffectiveConfig::new(&documents), documents)
    };
    print("config_in_force_bytes_per_workspace", bytes_each(WORKSPACES, effective));
    let stored: usize = bucket::BucketId::all()
        .map(|id| bucket::encode(&bucket::Bucket::of(id, &documents(WORKSPACES))).len())
        .sum();
    print("config_stored_bytes_per_workspace", stored as f64 / WORKSPACES as f64);
    print("config_stored_bytes_per_change", bucket::encode(&change(2)).len() as f64);
    for count in [WORKSPACES / SIZE_DIVISOR, WORKSPACES] {
        let node = Node::new(member(0), Recorder::for_tests("entry-0"));
        node.replace_if_newer(Replica::new(documents(count)), ConfigSource::Watch);
        let region = Region::new(ALLOCATOR);
        let mut last = 1;
        let each = cpu_us_each(10, |round| {
            last = u64::from(round) + 2;
            let _ = node.advance(vec![Arc::new(change(last))], ConfigSource::Peer);
        })?;
        assert_eq!(node.revision(), ConfigRevision(last));
        let touched = region.change().bytes_allocated as f64 / (last - 1) as f64;
        print(&format!("config_change_cpu_us_at_{count}_workspaces"), each);
        print(&format!("config_change_allocated_bytes_at_{count}_workspaces"), touched);
    }
    Ok(())
}

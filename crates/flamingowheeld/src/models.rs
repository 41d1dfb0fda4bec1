//! The configured version and adapters of a group's model, and the rate limit for loading its
//! weights.

use flamingowheel_backing::kv::KeyValue;
use flamingowheel_config::desired::desired_model;
use flamingowheel_config::effective::EffectiveConfig;
use flamingowheel_config::settings::WeightStoreSettings;
use flamingowheel_group::budget::{Budget, StoreLimits};
use flamingowheel_group::serve::DesiredServing;
use flamingowheel_group::session::{LoadLimiter, WeightSizes};
use std::sync::Arc;
use tokio::sync::watch;

/// Watches the configured version and adapters of a model; `None` while the configuration does not
/// offer the model. The watching task ends when all receivers are dropped.
pub fn desired_serving(
    mut effective: watch::Receiver<Arc<EffectiveConfig>>,
    model: &str,
) -> watch::Receiver<Option<DesiredServing>> {
    let model = model.to_owned();
    let (sender, receiver) = watch::channel(None);
    tokio::spawn(async move {
        loop {
            let now = serving_of(&effective.borrow_and_update(), &model);
            sender.send_if_modified(|current| {
                let changed = *current != now;
                *current = now;
                changed
            });
            tokio::select! {
                () = sender.closed() => return,
                changed = effective.changed() => if changed.is_err() { return },
            }
        }
    });
    receiver
}

fn serving_of(effective: &EffectiveConfig, model: &str) -> Option<DesiredServing> {
    let desired = desired_model(effective, model)?;
    Some(DesiredServing { version: desired.version, adapters: desired.adapters })
}

/// Limits the rate of weight loads to this process's share of the weight store's rate. `member`
/// identifies the process and must be unique to it.
pub fn load_limiter(
    kv: Arc<dyn KeyValue>,
    member: &str,
    settings: &WeightStoreSettings,
) -> LoadLimiter {
    let limits = StoreLimits {
        rate_bytes_per_s: settings.rate_bytes_per_s as f64,
        max_members: usize::try_from(settings.max_members).unwrap_or(usize::MAX),
    };
    let sizes = WeightSizes {
        expert_bytes: settings.expert_bytes,
        rank_bytes: settings.rank_bytes,
        adapter_bytes: settings.adapter_bytes,
    };
    LoadLimiter { budget: Arc::new(Budget::new(kv, member, limits)), sizes }
}

#[cfg(test)]
mod tests {
    use super::*;
    use flamingowheel_config::document::parse;
    use flamingowheel_config::effective::{ConfigRevision, Documents};

    fn effective(revision: u64, model: &str) -> Arc<EffectiveConfig> {
        let text = format!(
            "kind: template\nname: t\nparameters: {{models: {{notes: {model}}}}}\n---\n\
             kind: workspace\nname: w\ntemplate: t\ntoken_sha256: [{}]\n",
            "0".repeat(64)
        );
        let mut documents = Documents::default();
        documents.apply(ConfigRevision(revision), &parse(&text).unwrap());
        Arc::new(EffectiveConfig::new(&documents))
    }

    #[tokio::test(start_paused = true)]
    async fn desired_serving_follows_configuration() {
        let (sender, receiver) = watch::channel(effective(1, "{}"));
        let mut serving = desired_serving(receiver, "notes");
        serving.wait_for(|serving| *serving == Some(DesiredServing::default())).await.unwrap();
        sender.send_replace(effective(2, "{version: '7', adapters: [a]}"));
        let expected =
            DesiredServing { version: Some("7".to_owned()), adapters: ["a".to_owned()].into() };
        serving.wait_for(|serving| *serving == Some(expected.clone())).await.unwrap();
    }
}

//! `get`: shows templates or workspaces.

use flamingowheel_config::api::{
    TemplateAnswer, TemplatesAnswer, WorkspaceAnswer, WorkspacesAnswer,
};
use flamingowheel_config::effective::Stored;
use flamingowheel_config::workspace::Workspace;
use flamingowheel_observe::text::count_with_noun;
use serde::Serialize;
use std::sync::Arc;

use super::{render, row, table};
use crate::client::Client;
use crate::config::DocumentKind;
use crate::error::{Error, RenderError};
use crate::{Output, routes};

/// Workspaces requested per page.
const PAGE_SIZE: usize = 1_000;

/// Lists all documents of a kind.
pub async fn all(client: &Client, kind: DocumentKind, json: bool) -> Result<Output, Error> {
    let text = match kind {
        DocumentKind::Templates => {
            let answer: TemplatesAnswer = client.get(routes::TEMPLATES).await?;
            render(&answer, json, templates_text)?
        }
        DocumentKind::Workspaces => {
            render(&fetch_workspaces(client).await?, json, |all| workspaces_text(all))?
        }
    };
    Ok(Output::success(text))
}

/// Shows one document.
pub async fn one(
    client: &Client,
    kind: DocumentKind,
    name: &str,
    json: bool,
) -> Result<Output, Error> {
    let text = match kind {
        DocumentKind::Templates => {
            let path = format!("{}/{name}", routes::TEMPLATES);
            let answer: TemplateAnswer = client.get(&path).await?;
            let comment = format!(
                "# revision {}, used by {}\n",
                answer.template.revision.0,
                count_with_noun(answer.workspaces as u64, "workspace")
            );
            let document = yaml("template", &*answer.template.document)?;
            render(&answer, json, |_| comment + &document)?
        }
        DocumentKind::Workspaces => {
            let path = format!("{}/{name}", routes::WORKSPACES);
            let answer: WorkspaceAnswer = client.get(&path).await?;
            let text = workspace_text(&answer)?;
            render(&answer, json, |_| text)?
        }
    };
    Ok(Output::success(text))
}

/// Query of one page.
#[derive(Serialize)]
struct PageQuery<'a> {
    limit: usize,
    #[serde(skip_serializing_if = "Option::is_none")]
    after: Option<&'a str>,
}

async fn fetch_workspaces(client: &Client) -> Result<Vec<Stored<Arc<Workspace>>>, Error> {
    let mut all = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let query = super::query(&PageQuery { limit: PAGE_SIZE, after: after.as_deref() })?;
        let page: WorkspacesAnswer = client.get(&format!("{}?{query}", routes::WORKSPACES)).await?;
        all.extend(page.workspaces);
        match page.next {
            // A page that does not advance would make this loop endless.
            Some(next) if after.as_ref() < Some(&next) => after = Some(next),
            _ => return Ok(all),
        }
    }
}

fn templates_text(answer: &TemplatesAnswer) -> String {
    let mut rows = vec![row(["NAME", "REVISION", "DESCRIPTION"])];
    rows.extend(answer.templates.iter().map(|stored| {
        let template = &stored.document;
        row([&template.name, &stored.revision.0.to_string(), &template.description])
    }));
    table(&rows)
}

fn workspaces_text(workspaces: &[Stored<Arc<Workspace>>]) -> String {
    let mut rows = vec![row(["NAME", "REVISION", "TEMPLATE"])];
    rows.extend(workspaces.iter().map(|stored| {
        let workspace = &stored.document;
        row([&workspace.name, &stored.revision.0.to_string(), &workspace.template])
    }));
    table(&rows)
}

fn workspace_text(answer: &WorkspaceAnswer) -> Result<String, Error> {
    let document = yaml("workspace", &*answer.workspace.document)?;
    let effective = serde_yaml_ng::to_string(&answer.effective).map_err(RenderError::from)?;
    let comment: String = effective.lines().map(|line| format!("#   {line}\n")).collect();
    let revision = answer.workspace.revision.0;
    Ok(format!("# revision {revision}\n{document}# with its template's parameters:\n{comment}"))
}

/// Formats a document as YAML that `apply` accepts.
fn yaml<D>(kind: &str, document: &D) -> Result<String, Error>
where
    D: Serialize,
{
    let body = serde_yaml_ng::to_string(document).map_err(RenderError::from)?;
    Ok(format!("kind: {kind}\n{body}"))
}

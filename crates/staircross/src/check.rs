//! `staircross check`: validates settings files and service documents before they are used.

use crate::CommandOutcome;
use crate::flags;
use staircross_config::{PlatformDocument, Settings};
use std::path::Path;

/// Runs `check`: prints all findings, and returns `Failed` if there are any.
pub fn run(command: &flags::Check) -> Result<CommandOutcome, String> {
    if command.settings.is_none() && command.document.is_none() {
        return Err("check: give --settings, --document or both".to_owned());
    }
    let mut findings = Vec::new();
    if let Some(path) = &command.settings {
        findings.extend(check_settings(path)?);
    }
    if let Some(path) = &command.document {
        findings.extend(check_document(path)?);
    }
    for finding in &findings {
        println!("{finding}");
    }
    if findings.is_empty() {
        println!("no fault found");
        return Ok(CommandOutcome::Done);
    }
    Ok(CommandOutcome::Failed)
}

/// Reads and parses a settings file.
pub fn read_settings(path: &Path) -> Result<Settings, String> {
    let text = read_file(path)?;
    Settings::from_toml(&path.display().to_string(), &text).map_err(|error| error.to_string())
}

fn read_file(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))
}

fn check_settings(path: &Path) -> Result<Vec<String>, String> {
    let text = read_file(path)?;
    let settings = match Settings::from_toml(&path.display().to_string(), &text) {
        Ok(settings) => settings,
        Err(error) => return Ok(vec![error.to_string()]),
    };
    let log = staircross_node::logs::check_filter(&settings.node.log);
    Ok(log.err().map(|error| error.to_string()).into_iter().collect())
}

fn check_document(path: &Path) -> Result<Vec<String>, String> {
    let text = read_file(path)?;
    let origin = path.display().to_string();
    let document = match PlatformDocument::from_json(&origin, &text) {
        Ok(document) => document,
        Err(error) => return Ok(vec![error.to_string()]),
    };
    Ok(document.services.iter().flat_map(find_weaknesses).collect())
}

/// Lists definitions of a service that are valid but make requests fail now or after the loss of one searcher.
fn find_weaknesses(service: &staircross_config::ServiceDefinition) -> Vec<String> {
    let mut findings = Vec::new();
    if service.shard_maps.is_empty() {
        findings.push(format!("{}: no shard map, so every request is refused", service.name));
    }
    for map in &service.shard_maps {
        let under_replicated = map.shards.iter().filter(|placement| placement.replicas.len() < 2).count();
        if under_replicated > 0 {
            findings.push(format!(
                "{} snapshot {}: {under_replicated} shards have fewer than two replicas, so losing one searcher loses them",
                service.name, map.snapshot
            ));
        }
    }
    findings
}

//! Execution of `SHOW` statements.

use super::Core;
use crate::api::{Listing, ReplyBody, config_listing};
use staircross_language::ShowStatement;
use staircross_search::Refusal;
use staircross_types::{ErrorKind, ServiceName};

impl Core {
    pub(super) fn execute_show(&mut self, what: &ShowStatement) -> ReplyBody {
        let listing = match what {
            ShowStatement::Services | ShowStatement::Config => {
                Ok(config_listing(self.cluster.config().map_or(&[][..], |document| &document.services)))
            }
            ShowStatement::Searchers => Ok(self.list_searchers()),
            ShowStatement::Members => Ok(self.list_members()),
            ShowStatement::ConfigExport => self.export_document(),
            ShowStatement::Shards(service) => self.list_shards(service),
        };
        match listing {
            Ok(listing) => ReplyBody::Listing(listing),
            Err(refusal) => ReplyBody::Refusal((&refusal).into()),
        }
    }

    fn list_searchers(&mut self) -> Listing {
        let mut listing = Listing::new(&["searcher", "service", "zone", "address", "state", "snapshots", "owners"]);
        let services = self.cluster.config().map_or_else(Vec::new, |document| document.services.clone());
        for service in &services {
            for searcher in &service.searchers {
                let record = self.cluster.view_records().find(|record| record.searcher == searcher.id);
                let report = record.and_then(|record| record.report.as_ref());
                let state = match (record, report) {
                    (Some(record), _) if record.leaving => "leaving",
                    (_, Some(report)) if !report.snapshots.is_empty() => "serving",
                    (Some(_), _) => "unreachable",
                    (None, _) => "unknown",
                };
                let snapshots: Vec<String> =
                    report.iter().flat_map(|report| &report.snapshots).map(ToString::to_string).collect();
                let owners: Vec<String> = self
                    .cluster
                    .ownership()
                    .owners(searcher.id)
                    .iter()
                    .map(|owner| owner.to_string()[..8].to_owned())
                    .collect();
                listing.rows.push(vec![
                    searcher.id.to_string(),
                    service.name.to_string(),
                    searcher.zone.to_string(),
                    searcher.address.to_string(),
                    state.to_owned(),
                    snapshots.join(" "),
                    owners.join(" "),
                ]);
            }
        }
        listing
    }

    fn list_members(&self) -> Listing {
        let mut listing = Listing::new(&["node", "region", "zone", "callers", "peers", "state", "revision"]);
        for member in self.cluster.members() {
            listing.rows.push(vec![
                member.node.to_string(),
                member.region.clone(),
                member.zone.to_string(),
                member.caller_address.to_string(),
                member.peer_address.to_string(),
                format!("{:?}", member.state).to_lowercase(),
                self.cluster.revision_of(member.node).map_or_else(String::new, |revision| revision.to_string()),
            ]);
        }
        listing
    }

    fn export_document(&self) -> Result<Listing, Refusal> {
        let document = self.cluster.config();
        let document = document.ok_or_else(|| Refusal::new(ErrorKind::NoConfiguration, "no document is known yet"))?;
        let document = serde_json::to_string_pretty(&**document)
            .map_err(|error| Refusal::new(ErrorKind::Internal, error.to_string()))?;
        let mut listing = Listing::new(&["document"]);
        listing.rows.push(vec![document]);
        Ok(listing)
    }

    fn list_shards(&mut self, service: &ServiceName) -> Result<Listing, Refusal> {
        let Some(definition) = self.root.service(service).cloned() else {
            return Err(Refusal::new(ErrorKind::UnknownService, format!("no service is named {service}")));
        };
        let current = self.root.current_snapshot(service);
        let mut listing = Listing::new(&["snapshot", "served", "shard", "replicas"]);
        for map in &definition.shard_maps {
            for placement in &map.shards {
                let replicas: Vec<String> = placement.replicas.iter().map(ToString::to_string).collect();
                listing.rows.push(vec![
                    map.snapshot.to_string(),
                    if current == Some(map.snapshot) { "yes" } else { "" }.to_owned(),
                    placement.shard.to_string(),
                    replicas.join(" "),
                ]);
            }
        }
        Ok(listing)
    }
}

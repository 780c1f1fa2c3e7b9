//! `staircross status`: shows a node, and the fleet as the node knows it.

use crate::CommandOutcome;
use crate::flags;
use crate::query::parse_address;
use crate::table;
use staircross_node::NodeClient;

/// Runs `status`.
pub fn run(command: &flags::Status) -> Result<CommandOutcome, String> {
    let client = NodeClient::new(parse_address("--node", &command.node)?);
    let status = client.status().map_err(|error| error.to_string())?;
    if command.json {
        println!("{}", serde_json::to_string(&status).map_err(|error| error.to_string())?);
        return Ok(CommandOutcome::Done);
    }
    println!("node {}{}", status.node, if status.leaving { " (leaving)" } else { "" });
    println!("configuration revision {}", status.revision);
    println!(
        "{} sessions, {} requests in flight, {} searchers owned",
        status.sessions, status.requests_in_flight, status.owned_searchers
    );
    let columns = ["node", "region", "zone", "callers", "state", "revision"].map(str::to_owned);
    let rows: Vec<Vec<String>> = status
        .members
        .iter()
        .map(|member| {
            vec![
                member.node.to_string(),
                member.region.clone(),
                member.zone.clone(),
                member.address.to_string(),
                member.state.clone(),
                member.revision.map_or_else(String::new, |revision| revision.to_string()),
            ]
        })
        .collect();
    print!("{}", table::render(&columns, &rows));
    Ok(CommandOutcome::Done)
}

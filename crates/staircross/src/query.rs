//! `staircross query` and `staircross command`: send statements to a node and print its replies.

use crate::CommandOutcome;
use crate::flags;
use crate::table;
use staircross_node::NodeClient;
use staircross_node::api::{AnswerBody, ReplyBody, StatementReply};
use staircross_types::SessionToken;
use std::io::{BufRead, IsTerminal, Write};
use std::net::SocketAddr;

/// Parses the address given with `flag`.
pub fn parse_address(flag: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|error| format!("{flag} {text}: {error}; an address looks like 127.0.0.1:7001"))
}

/// Runs `query` with the given statement, or interactively without one. A session that was opened for a single
/// statement is closed afterwards.
pub fn run_query(command: &flags::Query) -> Result<CommandOutcome, String> {
    let client = NodeClient::new(parse_address("--node", &command.node)?);
    let (session, is_new_session) = match &command.session {
        Some(text) => (text.parse().map_err(|error| format!("--session: {error}"))?, false),
        None => (client.open_session().map_err(|error| error.to_string())?, true),
    };
    let outcome = match &command.statement {
        Some(statement) => send_statement(&client, session, statement, command.json),
        None => run_interactively(&client, session, command.json),
    };
    if is_new_session && command.statement.is_some() {
        client.close_session(session).map_err(|error| error.to_string())?;
    }
    outcome
}

fn run_interactively(client: &NodeClient, session: SessionToken, json: bool) -> Result<CommandOutcome, String> {
    let stdin = std::io::stdin();
    let is_terminal = stdin.is_terminal();
    if is_terminal {
        println!("session {session}; one statement a line, empty line or end of input to leave");
    }
    let mut outcome = CommandOutcome::Done;
    loop {
        if is_terminal {
            print!("> ");
            std::io::stdout().flush().map_err(|error| error.to_string())?;
        }
        let mut line = String::new();
        let count = stdin.lock().read_line(&mut line).map_err(|error| error.to_string())?;
        if count == 0 || line.trim().is_empty() {
            return Ok(outcome);
        }
        outcome = send_statement(client, session, line.trim(), json)?;
    }
}

fn send_statement(
    client: &NodeClient,
    session: SessionToken,
    statement: &str,
    json: bool,
) -> Result<CommandOutcome, String> {
    let statement = add_ticket_if_missing(client, session, statement)?;
    let reply = client.query(session, &statement).map_err(|error| error.to_string())?;
    print_reply(&reply, json)
}

/// Appends a new ticket to an action that has none, because a person who types an action wants it to run once.
fn add_ticket_if_missing(client: &NodeClient, session: SessionToken, statement: &str) -> Result<String, String> {
    let mut words = statement.split_whitespace();
    let is_run = words.next().is_some_and(|word| word.eq_ignore_ascii_case("RUN"));
    let has_ticket = words.any(|word| word.eq_ignore_ascii_case("TICKET"));
    if !is_run || has_ticket {
        return Ok(statement.to_owned());
    }
    let ticket = client.mint_ticket(session).map_err(|error| error.to_string())?;
    Ok(format!("{} TICKET '{ticket}'", statement.trim_end_matches(';')))
}

/// Runs `command`.
pub fn run_command(command: &flags::Command) -> Result<CommandOutcome, String> {
    let client = NodeClient::new(parse_address("--node", &command.node)?);
    let reply = client.command(&command.statement).map_err(|error| error.to_string())?;
    print_reply(&reply, command.json)
}

fn print_reply(reply: &StatementReply, json: bool) -> Result<CommandOutcome, String> {
    if json {
        println!("{}", serde_json::to_string(reply).map_err(|error| error.to_string())?);
    } else {
        print!("{}", describe(reply));
    }
    Ok(match reply.body {
        ReplyBody::Refusal(_) => CommandOutcome::Failed,
        _ => CommandOutcome::Done,
    })
}

fn describe(reply: &StatementReply) -> String {
    match &reply.body {
        ReplyBody::Answer(answer) => describe_answer(answer),
        ReplyBody::Acted { entry, message } => format!("done: {message} (audit entry {entry})\n"),
        ReplyBody::Planned { document } => match serde_json::to_string_pretty(document) {
            Ok(text) => format!("{text}\n"),
            Err(error) => format!("the new document can't be written: {error}\n"),
        },
        ReplyBody::Listing(listing) if listing.columns == ["document"] => {
            listing.rows.iter().flatten().map(|text| format!("{text}\n")).collect()
        }
        ReplyBody::Listing(listing) => table::render(&listing.columns, &listing.rows),
        ReplyBody::Refusal(refusal) => {
            let retry_hint = refusal.retry_after_ms.map_or(String::new(), |delay| format!("; retry after {delay} ms"));
            let executed = format!("{:?}", refusal.executed).to_lowercase();
            format!("refused: {}: {} (ran: {executed}{retry_hint})\n", refusal.error, refusal.detail)
        }
    }
}

fn describe_answer(answer: &AnswerBody) -> String {
    let columns = ["document", "shard", "score", "title"].map(str::to_owned);
    let rows: Vec<Vec<String>> = answer
        .hits
        .iter()
        .map(|hit| vec![hit.document.clone(), hit.shard.to_string(), format!("{:.3}", hit.score), hit.title.clone()])
        .collect();
    let mut text = table::render(&columns, &rows);
    text.push_str(&format!(
        "{} matching; snapshot {}; {} of {} shards; {:.1} ms\n",
        answer.matched, answer.snapshot, answer.shards_included, answer.shards_total, answer.elapsed_ms
    ));
    for missing in &answer.shards_missing {
        text.push_str(&format!("missing: shard {} ({})\n", missing.shard, missing.cause));
    }
    if let Some(next) = &answer.next {
        text.push_str(&format!("next page: AFTER '{next}'\n"));
    }
    text
}

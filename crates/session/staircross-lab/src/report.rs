//! Prints the progress and the replies of the demo, as text or as JSON lines.

use serde::Serialize;
use staircross_node::api::{ReplyBody, StatementReply};

/// Prints the output of the demo.
#[derive(Clone, Copy, Debug)]
pub struct Reporter {
    /// Whether replies are printed as JSON, one object per line, instead of text.
    pub json: bool,
}

#[derive(Serialize)]
struct ReplyLine<'a> {
    chapter: &'a str,
    statement: &'a str,
    #[serde(flatten)]
    reply: &'a StatementReply,
}

impl Reporter {
    /// Prints the title of a chapter. Prints nothing in JSON mode.
    pub fn print_chapter(&self, title: &str) {
        if !self.json {
            println!("\n== {title}");
        }
    }

    /// Prints an explanation. Prints nothing in JSON mode.
    pub fn print_note(&self, text: &str) {
        if !self.json {
            println!("   {text}");
        }
    }

    /// Prints a statement and its reply.
    pub fn print_reply(&self, chapter: &str, statement: &str, reply: &StatementReply) {
        if !self.json {
            println!("{statement}\n   {}", summarize_reply(reply));
            return;
        }
        match serde_json::to_string(&ReplyLine { chapter, statement, reply }) {
            Ok(line) => println!("{line}"),
            Err(error) => eprintln!("unprintable reply: {error}"),
        }
    }
}

/// Summarizes a reply in one line.
pub fn summarize_reply(reply: &StatementReply) -> String {
    match &reply.body {
        ReplyBody::Answer(answer) => {
            let missing: Vec<String> = answer
                .shards_missing
                .iter()
                .map(|missing| format!("shard {} {}", missing.shard, missing.cause))
                .collect();
            let lacking = if missing.is_empty() { String::new() } else { format!(", lacking {}", missing.join(", ")) };
            let extra = answer.sub_requests as i64 - i64::from(answer.sub_requests_needed);
            let best = answer.hits.first().map_or("no hit".to_owned(), |hit| format!("best: {}", hit.title));
            format!(
                "answer: {} matching, {best}; snapshot {}; {} of {} shards{lacking}; {} sub-requests ({extra} extra); {:.1} ms",
                answer.matched,
                answer.snapshot,
                answer.shards_included,
                answer.shards_total,
                answer.sub_requests,
                answer.elapsed_ms,
            )
        }
        ReplyBody::Acted { entry, message } => format!("acted: {message} (audit entry {entry})"),
        ReplyBody::Planned { document } => format!("planned: revision {}, to be published", document.revision),
        ReplyBody::Listing(listing) => format!("listing: {} rows", listing.rows.len()),
        ReplyBody::Refusal(refusal) => {
            format!("refusal: {} ({}), ran: {:?}", refusal.error, refusal.detail, refusal.executed)
        }
    }
}

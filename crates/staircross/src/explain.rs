//! `staircross explain`: one request's way through the logs of gateway nodes.
//!
//! Beside the request's own lines it shows what the node believed at that time and how old that was:
//! the configuration, the store's state, its load, and the entries of the searchers that are named.

use crate::Verdict;
use crate::flags;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// A belief this much older than the request's first line is still shown if it is the last of its kind.
const BELIEFS: &[&str] = &[
    "configuration",
    "configuration_view",
    "searchers",
    "members",
    "store",
    "pressed",
    "woke_late",
    "ready",
    "start",
    "stop_begins",
    "admission",
    "suspicion",
    "alarm",
];
/// Field of a line on a store's lane, a group of services or a content: the last word of each counts.
const SUBJECTS: &[&str] = &["lane", "group", "content", "route"];
/// Value of `level` where a group is limited no more.
const UNLIMITED: &str = "1.00";

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Seconds on the node's own clock.
    pub time: f64,
    /// The node.
    pub node: String,
    /// What happened.
    pub event: String,
    /// All further fields, in order.
    pub fields: Vec<(String, String)>,
}

impl LogLine {
    /// Reads a line; whatever stands before its time is passed over. `None` when it is no such line.
    pub fn parse(text: &str) -> Option<LogLine> {
        let start = text.find("t=").filter(|start| *start == 0 || text.as_bytes()[start - 1] == b' ')?;
        let mut fields = text[start..].split_whitespace().filter_map(|word| word.split_once('='));
        let time = fields.next().filter(|(key, _)| *key == "t")?.1.parse().ok()?;
        let node = fields.next().filter(|(key, _)| *key == "node")?.1.to_owned();
        let event = fields.next().filter(|(key, _)| *key == "event")?.1.to_owned();
        let fields = fields.map(|(key, value)| (key.to_owned(), value.to_owned())).collect();
        Some(LogLine { time, node, event, fields })
    }

    /// Value of a field.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.fields.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }

    fn render(&self, since: f64) -> String {
        let fields: Vec<String> = self
            .fields
            .iter()
            .filter(|(key, _)| key != "request")
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        format!("{:>+10.1} ms  {}  {}", (self.time - since) * 1000.0, self.event, fields.join(" "))
    }
}

/// Runs `explain`.
pub fn run(command: &flags::Explain) -> Result<Verdict, String> {
    let text =
        std::fs::read_to_string(&command.file).map_err(|error| format!("{}: {error}", command.file.display()))?;
    match explain(&text, &command.request) {
        Some(report) => {
            print!("{report}");
            Ok(Verdict::Done)
        }
        None => {
            println!("{}", nothing_found(&command.file, &command.request));
            Ok(Verdict::Failed)
        }
    }
}

fn nothing_found(file: &Path, request: &str) -> String {
    format!(
        "{}: no line names request {request}; it may not have reached a node (see the caller), its node may have \
         died or stalled before it wrote, or lines were held back (look for event=lines_held_back)",
        file.display()
    )
}

/// The timeline of a request, or `None` when no line names it.
pub fn explain(text: &str, request: &str) -> Option<String> {
    let lines: Vec<LogLine> = text.lines().filter_map(LogLine::parse).collect();
    let nodes: BTreeSet<&str> =
        lines.iter().filter(|line| line.get("request") == Some(request)).map(|line| line.node.as_str()).collect();
    if nodes.is_empty() {
        return None;
    }
    let parts = nodes.into_iter().map(|node| explain_at(&lines, node, request));
    Some(parts.collect())
}

fn explain_at(lines: &[LogLine], node: &str, request: &str) -> String {
    let here = lines_of_run(lines, node, request);
    let own: Vec<&LogLine> = here.iter().copied().filter(|line| line.get("request") == Some(request)).collect();
    let arrived = own.iter().map(|line| arrival_of(line)).fold(f64::INFINITY, f64::min);
    let ended = own.iter().map(|line| line.time).fold(arrived, f64::max);
    let mut report = format!("request {request} at {node}\n\nwhat the node believed when it arrived\n");
    let content = own.iter().find_map(|line| line.get("content"));
    for belief in last_beliefs(&here, arrived, ended, content) {
        report.push_str(&format!("{}\n", belief.render(arrived)));
    }
    report.push_str("\nwhat it decided\n");
    for line in &own {
        report.push_str(&format!("{}\n", line.render(arrived)));
    }
    let named = named_searchers(&own);
    if !named.is_empty() {
        report.push_str("\nwhat it knew of the searchers named\n");
    }
    for instance in named {
        match here.iter().rfind(|line| line.time <= ended && line.get("instance") == Some(instance.as_str())) {
            Some(entry) => report.push_str(&format!("{}\n", entry.render(arrived))),
            None => report.push_str(&entry_among_many(&here, ended, &instance)),
        }
    }
    report.push('\n');
    report
}

/// A searcher without a line of its own was learned of together with others.
fn entry_among_many(here: &[&LogLine], ended: f64, instance: &str) -> String {
    match here.iter().find(|line| line.time <= ended && line.event == "searchers") {
        Some(listing) => {
            let (changed, source) = (listing.get("changed").unwrap_or("?"), listing.get("source").unwrap_or("?"));
            format!(
                "            {instance}: one of {changed} learned of together at t={:.3} from {source}, or later\n",
                listing.time
            )
        }
        None => format!("            no entry of {instance} in this log\n"),
    }
}

/// Lines of the one run of the node that the request came to: clocks of two runs can't be compared.
fn lines_of_run<'a>(lines: &'a [LogLine], node: &str, request: &str) -> Vec<&'a LogLine> {
    let mut run: Vec<&LogLine> = Vec::new();
    let mut is_found = false;
    for line in lines.iter().filter(|line| line.node == node) {
        if line.event == "start" {
            if is_found {
                break;
            }
            run.clear();
        }
        is_found |= line.get("request") == Some(request);
        run.push(line);
    }
    run
}

/// When the request arrived, as a line of it tells: its own time less what it says has passed.
fn arrival_of(line: &LogLine) -> f64 {
    let passed = line.get("after_ms").or_else(|| line.get("ms")).and_then(|text| text.parse::<f64>().ok());
    line.time - passed.unwrap_or(0.0) / 1000.0
}

/// The last word of each kind before the request's end, oldest first.
fn last_beliefs<'a>(here: &[&'a LogLine], arrived: f64, ended: f64, content: Option<&str>) -> Vec<&'a LogLine> {
    let mut last: BTreeMap<String, &LogLine> = BTreeMap::new();
    for line in here.iter().filter(|line| BELIEFS.contains(&line.event.as_str()) && line.time <= ended) {
        let subject = SUBJECTS.iter().find_map(|field| line.get(field)).unwrap_or_default();
        last.insert(format!("{} {subject}", line.event), line);
    }
    // A late wake-up long ago says nothing, nor does a limit that is lifted, nor what is thought of another content.
    let is_telling = |line: &&LogLine| match line.event.as_str() {
        "woke_late" => arrived - line.time < 5.0,
        "admission" => line.get("level") != Some(UNLIMITED),
        "suspicion" => line.get("content") == content,
        "alarm" => line.get("raised") == Some("true"),
        _ => true,
    };
    let mut beliefs: Vec<&LogLine> = last.into_values().filter(is_telling).collect();
    beliefs.sort_by(|left, right| left.time.total_cmp(&right.time));
    beliefs
}

fn named_searchers(own: &[&LogLine]) -> BTreeSet<String> {
    let lists = own.iter().flat_map(|line| [line.get("searcher"), line.get("asked")]).flatten();
    lists.flat_map(|list| list.split(',')).filter(|name| !name.is_empty()).map(str::to_owned).collect()
}

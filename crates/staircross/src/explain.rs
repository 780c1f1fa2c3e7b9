//! `staircross explain`: prints the timeline of one request from the logs of gateway nodes.
//!
//! In addition to the request's own log lines, the timeline shows what the node knew at that time and how old that
//! knowledge was: the configuration, the state of the store, the load, and the entries of the searchers that the
//! request's lines name.

use crate::CommandOutcome;
use crate::flags;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Events that state what the node knows. The last event of each kind before the request's end is shown, however old
/// it is, with the exceptions in [`last_state_events`].
const STATE_EVENTS: &[&str] = &[
    "configuration",
    "configuration_view",
    "version_held",
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
/// Fields that name the subject of an event: a lane of the store, a group of services, a content or a route. The last
/// event of each subject is shown.
const SUBJECT_FIELDS: &[&str] = &["lane", "group", "content", "route"];
/// Value of `level` in an `admission` event when a group is no longer limited.
const UNLIMITED_LEVEL: &str = "1.00";

/// A parsed log line.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Time of the event in seconds, on the node's own clock.
    pub time: f64,
    /// Name of the node that wrote the line.
    pub node: String,
    /// Kind of the event.
    pub event: String,
    /// Names and values of the other fields, in order.
    pub fields: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line; text before its time field is ignored. Returns `None` if it isn't a line of a node's log.
    pub fn parse(text: &str) -> Option<LogLine> {
        let start = text.find("t=").filter(|start| *start == 0 || text.as_bytes()[start - 1] == b' ')?;
        let mut fields = text[start..].split_whitespace().filter_map(|word| word.split_once('='));
        let time = fields.next().filter(|(key, _)| *key == "t")?.1.parse().ok()?;
        let node = fields.next().filter(|(key, _)| *key == "node")?.1.to_owned();
        let event = fields.next().filter(|(key, _)| *key == "event")?.1.to_owned();
        let fields = fields.map(|(key, value)| (key.to_owned(), value.to_owned())).collect();
        Some(LogLine { time, node, event, fields })
    }

    /// Returns the value of the field named `key`.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.fields.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }

    /// Renders the line with its time in milliseconds since `since`, and without the field `request`.
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

/// Runs `explain`: prints the timeline, and fails if no line names the request.
pub fn run(command: &flags::Explain) -> Result<CommandOutcome, String> {
    let text =
        std::fs::read_to_string(&command.file).map_err(|error| format!("{}: {error}", command.file.display()))?;
    match explain(&text, &command.request) {
        Some(report) => {
            print!("{report}");
            Ok(CommandOutcome::Done)
        }
        None => {
            println!("{}", not_found_message(&command.file, &command.request));
            Ok(CommandOutcome::Failed)
        }
    }
}

fn not_found_message(file: &Path, request: &str) -> String {
    format!(
        "{}: no line names request {request}; it may not have reached a node (see the caller), its node may have \
         died or stalled before it wrote, or lines were held back (look for event=lines_held_back)",
        file.display()
    )
}

/// Renders the timeline of a request at each node, or returns `None` if no line names the request.
pub fn explain(text: &str, request: &str) -> Option<String> {
    let lines: Vec<LogLine> = text.lines().filter_map(LogLine::parse).collect();
    let nodes: BTreeSet<&str> =
        lines.iter().filter(|line| line.get("request") == Some(request)).map(|line| line.node.as_str()).collect();
    if nodes.is_empty() {
        return None;
    }
    let parts = nodes.into_iter().map(|node| render_node_timeline(&lines, node, request));
    Some(parts.collect())
}

/// Renders the timeline of a request at one node.
fn render_node_timeline(lines: &[LogLine], node: &str, request: &str) -> String {
    let run_lines = lines_of_run(lines, node, request);
    let request_lines: Vec<&LogLine> =
        run_lines.iter().copied().filter(|line| line.get("request") == Some(request)).collect();
    let arrived_at = request_lines.iter().map(|line| arrival_time(line)).fold(f64::INFINITY, f64::min);
    let ended_at = request_lines.iter().map(|line| line.time).fold(arrived_at, f64::max);
    let mut report = format!("request {request} at {node}\n\nwhat the node believed when it arrived\n");
    let content = request_lines.iter().find_map(|line| line.get("content"));
    for state_event in last_state_events(&run_lines, arrived_at, ended_at, content) {
        report.push_str(&format!("{}\n", state_event.render(arrived_at)));
    }
    report.push_str("\nwhat it decided\n");
    for line in &request_lines {
        report.push_str(&format!("{}\n", line.render(arrived_at)));
    }
    let instances = named_searchers(&request_lines);
    if !instances.is_empty() {
        report.push_str("\nwhat it knew of the searchers named\n");
    }
    for instance in instances {
        match run_lines.iter().rfind(|line| line.time <= ended_at && line.get("instance") == Some(instance.as_str())) {
            Some(entry) => report.push_str(&format!("{}\n", entry.render(arrived_at))),
            None => report.push_str(&describe_unlogged_searcher(&run_lines, ended_at, &instance)),
        }
    }
    report.push('\n');
    report
}

/// Describes a searcher that has no log line of its own. If the node had logged by the request's end that it learned
/// of several searchers at once, the searcher may be one of them.
fn describe_unlogged_searcher(run_lines: &[&LogLine], ended_at: f64, instance: &str) -> String {
    match run_lines.iter().find(|line| line.time <= ended_at && line.event == "searchers") {
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

/// Returns the lines of the run of the node that received the request. Other runs are left out because the clocks of
/// two runs can't be compared.
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

/// Returns the arrival time of the request, computed from one of its lines: the line's time minus the elapsed time that
/// the line states.
fn arrival_time(line: &LogLine) -> f64 {
    let elapsed = line.get("after_ms").or_else(|| line.get("ms")).and_then(|text| text.parse::<f64>().ok());
    line.time - elapsed.unwrap_or(0.0) / 1000.0
}

/// Returns the last event of each kind and subject before the request's end, oldest first.
fn last_state_events<'a>(
    run_lines: &[&'a LogLine],
    arrived_at: f64,
    ended_at: f64,
    content: Option<&str>,
) -> Vec<&'a LogLine> {
    let mut last: BTreeMap<String, &LogLine> = BTreeMap::new();
    for line in run_lines.iter().filter(|line| STATE_EVENTS.contains(&line.event.as_str()) && line.time <= ended_at) {
        let subject = SUBJECT_FIELDS.iter().find_map(|field| line.get(field)).unwrap_or_default();
        last.insert(format!("{} {subject}", line.event), line);
    }
    // These events are left out: a late wake-up five seconds or more before the request, a limit that was lifted, the
    // suspicion of another content, and an alarm that was cleared.
    let is_relevant = |line: &&LogLine| match line.event.as_str() {
        "woke_late" => arrived_at - line.time < 5.0,
        "admission" => line.get("level") != Some(UNLIMITED_LEVEL),
        "suspicion" => line.get("content") == content,
        "alarm" => line.get("raised") == Some("true"),
        _ => true,
    };
    let mut state_events: Vec<&LogLine> = last.into_values().filter(is_relevant).collect();
    state_events.sort_by(|left, right| left.time.total_cmp(&right.time));
    state_events
}

/// Returns the instances of the searchers that the request's lines name.
fn named_searchers(request_lines: &[&LogLine]) -> BTreeSet<String> {
    let lists = request_lines.iter().flat_map(|line| [line.get("searcher"), line.get("asked")]).flatten();
    lists.flat_map(|list| list.split(',')).filter(|name| !name.is_empty()).map(str::to_owned).collect()
}

//! The table: what each role needs at a size, what carries it, and which limit breaks first.
//!
//! Every figure is a measured slope times a count. A row whose mechanism isn't built says so.

use crate::sizes::Sizes;
use crate::slopes::Slopes;
use serde::Serialize;
use std::fmt::Write;

/// One row.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlanRow {
    /// The role.
    pub role: &'static str,
    /// What is counted.
    pub quantity: &'static str,
    /// How much is needed.
    pub needed: f64,
    /// How much there is, or is allowed; `None` when nothing bounds it.
    pub allowed: Option<f64>,
    /// The unit of both.
    pub unit: &'static str,
    /// The mechanism that carries it.
    pub mechanism: &'static str,
    /// Whether the mechanism is built, or worked out on paper only.
    pub built: bool,
}

impl PlanRow {
    /// Needed over allowed; above one the limit is broken.
    pub fn load(&self) -> Option<f64> {
        self.allowed.map(|allowed| self.needed / allowed)
    }
}

/// The whole table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    /// The size's name.
    pub name: String,
    /// All rows.
    pub rows: Vec<PlanRow>,
}

/// Owners of each group of searchers, as the cluster logic chooses them.
const OWNERS_PER_GROUP: f64 = 2.0;
/// Copies of each session besides the holder's.
const SESSION_COPIES: f64 = 2.0;
/// Microseconds in a second.
const MICROS: f64 = 1_000_000.0;

/// Works out the table.
pub fn plan(sizes: &Sizes, slopes: &Slopes) -> Plan {
    let mut rows = Vec::new();
    request_rows(sizes, slopes, &mut rows);
    searcher_rows(sizes, &mut rows);
    session_rows(sizes, slopes, &mut rows);
    Plan { name: sizes.name.clone(), rows }
}

fn request_rows(sizes: &Sizes, slopes: &Slopes, rows: &mut Vec<PlanRow>) {
    let sub_queries = sizes.queries_per_s * sizes.fan_out / sizes.nodes;
    let cores = |nanos: f64| sub_queries * nanos / 1000.0 / MICROS;
    rows.push(PlanRow {
        role: "root",
        quantity: "sub-queries planned",
        needed: sub_queries,
        allowed: None,
        unit: "/s a node",
        mechanism: "one sub-request per searcher, its shards together",
        built: true,
    });
    rows.push(PlanRow {
        role: "root",
        quantity: "decisions",
        needed: cores(slopes.root_ns_per_sub_query.median),
        // The engines of a node run on one thread.
        allowed: Some(1.0),
        unit: "cores",
        mechanism: "one engine thread; several by session are on paper",
        built: true,
    });
    rows.push(PlanRow {
        role: "leaf",
        quantity: "decisions",
        needed: cores(slopes.leaf_ns_per_sub_query.median),
        allowed: Some(1.0),
        unit: "cores",
        mechanism: "the same engine thread; one per group is on paper",
        built: true,
    });
    rows.push(PlanRow {
        role: "root and leaf",
        quantity: "messages between nodes, codec",
        needed: cores(slopes.peer_ns_per_sub_query.median),
        allowed: Some(sizes.cores),
        unit: "cores",
        mechanism: "CBOR frames; one message per leaf instead of per searcher is on paper",
        built: true,
    });
    rows.push(PlanRow {
        role: "root and leaf",
        quantity: "messages between nodes",
        needed: sub_queries * slopes.peer_bytes_per_sub_query.median / 1e6,
        allowed: None,
        unit: "MB/s a node",
        mechanism: "kept-alive connections, writes batched while more waits",
        built: true,
    });
    rows.push(PlanRow {
        role: "leaf",
        quantity: "HTTP calls to searchers",
        needed: sub_queries * slopes.http_us_per_call.median / MICROS,
        allowed: Some(sizes.cores),
        unit: "cores",
        mechanism: "a thread and a kept-alive connection per slot; batches per slot are on paper",
        built: true,
    });
}

fn searcher_rows(sizes: &Sizes, rows: &mut Vec<PlanRow>) {
    let per_searcher = sizes.queries_per_s * sizes.fan_out / sizes.searchers;
    rows.push(PlanRow {
        role: "searcher",
        quantity: "sub-queries",
        needed: per_searcher,
        allowed: None,
        unit: "/s a searcher",
        mechanism: "collapsing of equal sub-queries is on paper",
        built: false,
    });
    rows.push(PlanRow {
        role: "searcher",
        quantity: "slot time left per sub-query",
        needed: sizes.slots * MICROS / per_searcher,
        allowed: None,
        unit: "us",
        mechanism: "slot shares; whatever takes longer is shed",
        built: true,
    });
    let owners = OWNERS_PER_GROUP.min(sizes.slots).min(sizes.nodes);
    rows.push(PlanRow {
        role: "searcher",
        quantity: "connections by its owners",
        needed: sizes.slots + owners,
        allowed: Some(sizes.connections),
        unit: "connections",
        mechanism: "owners alone connect: one per slot and one each for probes",
        built: true,
    });
    rows.push(PlanRow {
        role: "searcher",
        quantity: "connections if every node connected",
        needed: sizes.nodes,
        allowed: Some(sizes.connections),
        unit: "connections",
        mechanism: "not done; why there are leaves",
        built: false,
    });
    rows.push(PlanRow {
        role: "leaf",
        quantity: "searchers owned",
        needed: sizes.searchers * owners / sizes.nodes,
        allowed: None,
        unit: "a node",
        mechanism: "rendezvous hashing of groups over members",
        built: true,
    });
}

fn session_rows(sizes: &Sizes, slopes: &Slopes, rows: &mut Vec<PlanRow>) {
    let held = sizes.sessions / sizes.nodes;
    rows.push(PlanRow {
        role: "root",
        quantity: "session state held",
        needed: held * slopes.session_bytes.median / 1e6,
        allowed: None,
        unit: "MB",
        mechanism: "bounded table, clear refusal at the bound",
        built: true,
    });
    rows.push(PlanRow {
        role: "session replica",
        quantity: "copies kept for others",
        needed: held * SESSION_COPIES.min(sizes.nodes - 1.0).max(0.0) * slopes.session_copy_bytes.median / 1e6,
        allowed: None,
        unit: "MB",
        mechanism: "two copies in other zones, bounded store",
        built: true,
    });
}

impl Plan {
    /// The row that is nearest to its limit or farthest beyond it, among what is done.
    pub fn first_limit(&self) -> Option<&PlanRow> {
        let built = self.rows.iter().filter(|row| row.built && row.allowed.is_some());
        built.max_by(|left, right| left.load().unwrap_or(0.0).total_cmp(&right.load().unwrap_or(0.0)))
    }

    /// The table as Markdown.
    pub fn markdown(&self) -> String {
        let mut text = String::from("| role | quantity | needed | allowed | load | carried by | built |\n");
        text.push_str("| --- | --- | ---: | ---: | ---: | --- | --- |\n");
        for row in &self.rows {
            let allowed = row.allowed.map_or("-".to_owned(), short);
            let load = row.load().map_or("-".to_owned(), |load| format!("{:.2}", load));
            let built = if row.built { "yes" } else { "no" };
            // Writing to a string can't fail.
            let _infallible = writeln!(
                text,
                "| {} | {} | {} {} | {allowed} | {load} | {} | {built} |",
                row.role,
                row.quantity,
                short(row.needed),
                row.unit,
                row.mechanism
            );
        }
        text
    }

    /// One sentence on the limit that comes first.
    pub fn verdict(&self) -> String {
        match self.first_limit() {
            Some(row) => {
                let load = row.load().unwrap_or(0.0);
                let verb = if load > 1.0 { "broken" } else { "nearest" };
                format!(
                    "First limit ({verb}): {} {}: needs {} of {} {}, {:.2} times what is there.",
                    row.role,
                    row.quantity,
                    short(row.needed),
                    row.allowed.map_or(String::new(), short),
                    row.unit,
                    load
                )
            }
            None => "No limit applies.".to_owned(),
        }
    }
}

/// Three significant digits are as many as the slopes bear.
fn short(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let digits = 2 - value.abs().log10().floor() as i32;
    let factor = 10_f64.powi(digits);
    let rounded = (value * factor).round() / factor;
    format!("{rounded:.*}", digits.max(0) as usize)
}

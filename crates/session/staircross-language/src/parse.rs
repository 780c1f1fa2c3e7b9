//! Parses text into a [`Statement`].
//!
//! Invariant: parsing any text returns a statement or an error that names a place, and never panics.

use crate::error::LanguageError;
use crate::statement::{
    ConfigStatement, DEFAULT_LIMIT, MAX_LIMIT, PullStatement, RunStatement, SearchStatement, ShowStatement, Statement,
};
use pest::Parser;
use pest::error::{ErrorVariant, LineColLocation};
use pest::iterators::Pair;
use pest_derive::Parser;
use staircross_config::{PolicyChange, Priority, ServiceEdit};
use staircross_types::{SearcherId, ServiceName};

#[derive(Parser)]
#[grammar = "grammar.pest"]
struct StatementParser;

/// A node of the parse tree.
type Node<'text> = Pair<'text, Rule>;

/// Parses one statement, which may end with `;`.
pub fn parse_statement(text: &str) -> Result<Statement, LanguageError> {
    let mut parsed = StatementParser::parse(Rule::statement, text).map_err(|error| syntax_error(text, error))?;
    let body = parsed.next().and_then(|statement| statement.into_inner().next());
    let Some(body) = body else {
        return Err(empty_statement());
    };
    match body.as_rule() {
        Rule::search => search(body).map(Statement::Search),
        Rule::pull => pull(body).map(Statement::Pull),
        Rule::run => run(body).map(Statement::Run),
        Rule::show => show(body).map(Statement::Show),
        Rule::create => create(body).map(Statement::Config),
        Rule::alter => alter(body).map(Statement::Config),
        Rule::drop => drop_service(body).map(Statement::Config),
        _ => drain(body).map(Statement::Config),
    }
}

/// Returns the error for a statement, or a part of one, that is missing from the parse tree.
fn empty_statement() -> LanguageError {
    LanguageError::Syntax { line: 1, column: 1, found: "end of text".into(), expected: vec!["a statement".into()] }
}

/// Converts an error of the grammar's parser.
fn syntax_error(text: &str, error: pest::error::Error<Rule>) -> LanguageError {
    let (line, column) = match error.line_col {
        LineColLocation::Pos(place) => place,
        LineColLocation::Span(start, _) => start,
    };
    let expected = match error.variant {
        ErrorVariant::ParsingError { positives, .. } => expected_names(&positives),
        ErrorVariant::CustomError { message } => vec![message],
    };
    LanguageError::Syntax { line, column, found: word_at(text, line, column), expected }
}

/// Returns the word that starts at a place, in backquotes, for an error message.
fn word_at(text: &str, line: usize, column: usize) -> String {
    let line_text = text.lines().nth(line.saturating_sub(1)).unwrap_or("");
    let rest: String = line_text.chars().skip(column.saturating_sub(1)).collect();
    match rest.split_whitespace().next() {
        Some(word) => format!("`{word}`"),
        None => "end of text".to_owned(),
    }
}

/// Returns the descriptions of the rules that would have matched, sorted and without duplicates.
fn expected_names(rules: &[Rule]) -> Vec<String> {
    let mut names: Vec<String> = rules.iter().map(|rule| rule_name(*rule).to_owned()).collect();
    names.sort();
    names.dedup();
    names
}

/// Describes what a rule matches, for error messages.
fn rule_name(rule: Rule) -> &'static str {
    match rule {
        Rule::statement => "SEARCH, PULL, RUN, SHOW, CREATE, ALTER, DROP or DRAIN",
        Rule::search => "SEARCH 'terms' IN SERVICE name",
        Rule::pull => "PULL 'terms' IN SERVICE name",
        Rule::run => "RUN verb ON 'target' IN SERVICE name TICKET 'ticket'",
        Rule::show => "SHOW SERVICES, SEARCHERS, MEMBERS, CONFIG or SHARDS",
        Rule::create => "CREATE SERVICE name LIKE name",
        Rule::alter => "ALTER SERVICE name SET …",
        Rule::drop => "DROP SERVICE name",
        Rule::drain => "DRAIN SEARCHER number",
        Rule::word => "a name (a-z, 0-9, -)",
        Rule::number => "a whole number",
        Rule::percent | Rule::decimal => "a percentage such as 99.5%",
        Rule::text | Rule::characters => "a text in 'single quotes'",
        Rule::wait | Rule::set_wait => "WAIT number MS",
        Rule::coverage | Rule::set_coverage => "COVERAGE percentage",
        Rule::limit => "LIMIT number",
        Rule::after => "AFTER 'cursor'",
        Rule::note => "NOTE 'text'",
        Rule::ticket => "TICKET 'ticket'",
        Rule::set => "SET",
        Rule::assignment => "WAIT, COVERAGE, PRIORITY, REPEATABLE, HEDGE or RETRY",
        Rule::set_priority => "PRIORITY",
        Rule::set_repeatable => "REPEATABLE",
        Rule::set_hedge => "HEDGE percentage",
        Rule::set_retry => "RETRY percentage",
        Rule::priority => "COVERAGE or LATENCY",
        Rule::yes_no => "YES or NO",
        Rule::based_on => "AT REVISION number",
        Rule::services => "SERVICES",
        Rule::searchers => "SEARCHERS",
        Rule::members => "MEMBERS",
        Rule::config | Rule::config_export => "CONFIG [EXPORT]",
        Rule::shards => "SHARDS IN SERVICE name",
        Rule::EOI => "end of text",
        _ => "a statement",
    }
}

fn search(node: Node<'_>) -> Result<SearchStatement, LanguageError> {
    let mut parts = node.into_inner();
    let mut statement = SearchStatement {
        terms: terms(parts.next()),
        service: service_name(parts.next()),
        wait_ms: None,
        coverage_per_mille: None,
        limit: DEFAULT_LIMIT,
    };
    for option in parts {
        match option.as_rule() {
            Rule::wait => statement.wait_ms = Some(inner_number(option)?),
            Rule::coverage => statement.coverage_per_mille = Some(inner_per_mille(option)?),
            _ => statement.limit = page_limit(option)?,
        }
    }
    Ok(statement)
}

fn pull(node: Node<'_>) -> Result<PullStatement, LanguageError> {
    let mut parts = node.into_inner();
    let mut statement = PullStatement {
        terms: terms(parts.next()),
        service: service_name(parts.next()),
        after: None,
        wait_ms: None,
        limit: DEFAULT_LIMIT,
    };
    for option in parts {
        match option.as_rule() {
            Rule::after => statement.after = Some(inner_text(option)),
            Rule::wait => statement.wait_ms = Some(inner_number(option)?),
            _ => statement.limit = page_limit(option)?,
        }
    }
    Ok(statement)
}

fn run(node: Node<'_>) -> Result<RunStatement, LanguageError> {
    let mut parts = node.into_inner();
    let mut statement = RunStatement {
        verb: parts.next().map_or(String::new(), |word| word.as_str().to_owned()),
        target: parts.next().map_or(String::new(), unquote),
        service: service_name(parts.next()),
        note: String::new(),
        wait_ms: None,
        ticket: None,
    };
    for option in parts {
        match option.as_rule() {
            Rule::note => statement.note = inner_text(option),
            Rule::wait => statement.wait_ms = Some(inner_number(option)?),
            _ => statement.ticket = Some(inner_text(option)),
        }
    }
    Ok(statement)
}

fn show(node: Node<'_>) -> Result<ShowStatement, LanguageError> {
    let Some(what) = node.into_inner().next() else {
        return Err(empty_statement());
    };
    Ok(match what.as_rule() {
        Rule::services => ShowStatement::Services,
        Rule::searchers => ShowStatement::Searchers,
        Rule::members => ShowStatement::Members,
        Rule::config_export => ShowStatement::ConfigExport,
        Rule::shards => ShowStatement::Shards(service_name(what.into_inner().next())),
        _ => ShowStatement::Config,
    })
}

fn create(node: Node<'_>) -> Result<ConfigStatement, LanguageError> {
    let mut parts = node.into_inner();
    let service = service_name(parts.next());
    let like = service_name(parts.next());
    let tail = config_tail(parts)?;
    let change = ServiceEdit::Create { service, like, policy: tail.policy };
    Ok(ConfigStatement { change, based_on: tail.based_on })
}

fn alter(node: Node<'_>) -> Result<ConfigStatement, LanguageError> {
    let mut parts = node.into_inner();
    let service = service_name(parts.next());
    let tail = config_tail(parts)?;
    let change = ServiceEdit::Alter { service, policy: tail.policy };
    Ok(ConfigStatement { change, based_on: tail.based_on })
}

fn drop_service(node: Node<'_>) -> Result<ConfigStatement, LanguageError> {
    let mut parts = node.into_inner();
    let service = service_name(parts.next());
    let tail = config_tail(parts)?;
    Ok(ConfigStatement { change: ServiceEdit::Drop { service }, based_on: tail.based_on })
}

fn drain(node: Node<'_>) -> Result<ConfigStatement, LanguageError> {
    let mut parts = node.into_inner();
    let Some(first) = parts.next() else {
        return Err(empty_statement());
    };
    let searcher = SearcherId(bounded_number(first, u64::from(u32::MAX))? as u32);
    let tail = config_tail(parts)?;
    Ok(ConfigStatement { change: ServiceEdit::Drain { searcher }, based_on: tail.based_on })
}

/// The optional parts at the end of a configuration statement.
#[derive(Default)]
struct ConfigTail {
    policy: PolicyChange,
    based_on: Option<u64>,
}

fn config_tail<'text>(parts: impl Iterator<Item = Node<'text>>) -> Result<ConfigTail, LanguageError> {
    let mut tail = ConfigTail::default();
    for part in parts {
        match part.as_rule() {
            Rule::based_on => tail.based_on = Some(inner_number(part)?),
            _ => tail.policy = policy_change(part)?,
        }
    }
    Ok(tail)
}

/// Reads the assignments of a `SET` part.
fn policy_change(set: Node<'_>) -> Result<PolicyChange, LanguageError> {
    let mut change = PolicyChange::default();
    for assignment in set.into_inner().flat_map(Pair::into_inner) {
        match assignment.as_rule() {
            Rule::set_wait => change.wait_ms = Some(inner_number(assignment)?),
            Rule::set_coverage => change.least_coverage_per_mille = Some(inner_per_mille(assignment)?),
            Rule::set_hedge => change.hedge_per_mille = Some(inner_per_mille(assignment)?),
            Rule::set_retry => change.retry_per_mille = Some(inner_per_mille(assignment)?),
            Rule::set_priority => change.priority = Some(priority(assignment)),
            _ => change.repeatable = Some(last_word(assignment).eq_ignore_ascii_case("YES")),
        }
    }
    Ok(change)
}

fn priority(assignment: Node<'_>) -> Priority {
    match last_word(assignment).eq_ignore_ascii_case("LATENCY") {
        true => Priority::Latency,
        false => Priority::Coverage,
    }
}

/// Returns the value of an assignment, as it is written.
fn last_word(assignment: Node<'_>) -> String {
    assignment.into_inner().next().map_or(String::new(), |word| word.as_str().to_owned())
}

fn service_name(node: Option<Node<'_>>) -> ServiceName {
    ServiceName::new(node.map_or("", |node| node.as_str()))
}

/// Returns the words of a quoted text in lower case.
fn terms(node: Option<Node<'_>>) -> Vec<String> {
    let text = node.map_or(String::new(), unquote);
    text.split_whitespace().map(str::to_lowercase).collect()
}

/// Returns the content of a quoted text, in which two quotes stand for one.
fn unquote(text: Node<'_>) -> String {
    text.into_inner().next().map_or(String::new(), |characters| characters.as_str().replace("''", "'"))
}

fn inner_text(option: Node<'_>) -> String {
    option.into_inner().next().map_or(String::new(), unquote)
}

fn inner_number(option: Node<'_>) -> Result<u64, LanguageError> {
    match option.into_inner().next() {
        Some(number) => bounded_number(number, u64::MAX),
        None => Err(empty_statement()),
    }
}

fn page_limit(option: Node<'_>) -> Result<u32, LanguageError> {
    match option.into_inner().next() {
        Some(number) => bounded_number(number, u64::from(MAX_LIMIT)).map(|limit| limit as u32),
        None => Err(empty_statement()),
    }
}

/// Parses a whole number that must not be above `most`.
fn bounded_number(number: Node<'_>, most: u64) -> Result<u64, LanguageError> {
    match number.as_str().parse::<u64>() {
        Ok(value) if value <= most => Ok(value),
        _ => Err(value_error(&number, format!("0 to {most}"))),
    }
}

/// Parses a percentage, which may have one decimal, into parts per thousand.
fn inner_per_mille(option: Node<'_>) -> Result<u32, LanguageError> {
    let Some(percent) = option.into_inner().next() else {
        return Err(empty_statement());
    };
    let digits = percent.as_str().trim_end_matches('%');
    match digits.parse::<f64>() {
        Ok(value) if (0.0..=100.0).contains(&value) => Ok((value * 10.0).round() as u32),
        _ => Err(value_error(&percent, "0% to 100%".to_owned())),
    }
}

fn value_error(node: &Node<'_>, allowed: String) -> LanguageError {
    let (line, column) = node.line_col();
    LanguageError::Value { line, column, found: format!("`{}`", node.as_str()), allowed }
}

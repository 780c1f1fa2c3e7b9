//! Parses text into a [`Statement`].
//!
//! Invariant: parsing any text returns a statement or an error with a line and a column, and never panics.

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
type ParseNode<'text> = Pair<'text, Rule>;

/// Parses one statement, which may end with `;`.
pub fn parse_statement(text: &str) -> Result<Statement, LanguageError> {
    let mut parsed = StatementParser::parse(Rule::statement, text).map_err(|error| syntax_error(text, error))?;
    let body = parsed.next().and_then(|statement| statement.into_inner().next());
    let Some(body) = body else {
        return Err(missing_statement());
    };
    match body.as_rule() {
        Rule::search => search_statement(body).map(Statement::Search),
        Rule::pull => pull_statement(body).map(Statement::Pull),
        Rule::run => run_statement(body).map(Statement::Run),
        Rule::show => show_statement(body).map(Statement::Show),
        Rule::create => create_service(body).map(Statement::Config),
        Rule::alter => alter_service(body).map(Statement::Config),
        Rule::drop => drop_service(body).map(Statement::Config),
        _ => drain_searcher(body).map(Statement::Config),
    }
}

/// Returns the error for a statement, or a part of one, that is missing from the parse tree.
fn missing_statement() -> LanguageError {
    LanguageError::Syntax { line: 1, column: 1, found: "end of text".into(), expected: vec!["a statement".into()] }
}

/// Converts a syntax error of the generated parser.
fn syntax_error(text: &str, error: pest::error::Error<Rule>) -> LanguageError {
    let (line, column) = match error.line_col {
        LineColLocation::Pos(place) => place,
        LineColLocation::Span(start, _) => start,
    };
    let expected = match error.variant {
        ErrorVariant::ParsingError { positives, .. } => expected_descriptions(&positives),
        ErrorVariant::CustomError { message } => vec![message],
    };
    LanguageError::Syntax { line, column, found: word_at(text, line, column), expected }
}

/// Returns the word at a line and column in backquotes, for an error message.
fn word_at(text: &str, line: usize, column: usize) -> String {
    let line_text = text.lines().nth(line.saturating_sub(1)).unwrap_or("");
    let rest: String = line_text.chars().skip(column.saturating_sub(1)).collect();
    match rest.split_whitespace().next() {
        Some(word) => format!("`{word}`"),
        None => "end of text".to_owned(),
    }
}

/// Returns the descriptions of the rules that would have matched, sorted and without duplicates.
fn expected_descriptions(rules: &[Rule]) -> Vec<String> {
    let mut descriptions: Vec<String> = rules.iter().map(|rule| rule_description(*rule).to_owned()).collect();
    descriptions.sort();
    descriptions.dedup();
    descriptions
}

/// Describes what a rule matches, for error messages.
fn rule_description(rule: Rule) -> &'static str {
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

fn search_statement(node: ParseNode<'_>) -> Result<SearchStatement, LanguageError> {
    let mut parts = node.into_inner();
    let mut statement = SearchStatement {
        terms: parse_terms(parts.next()),
        service: service_name(parts.next()),
        wait_ms: None,
        coverage_per_mille: None,
        limit: DEFAULT_LIMIT,
    };
    for option in parts {
        match option.as_rule() {
            Rule::wait => statement.wait_ms = Some(option_number(option)?),
            Rule::coverage => statement.coverage_per_mille = Some(option_per_mille(option)?),
            _ => statement.limit = hit_limit(option)?,
        }
    }
    Ok(statement)
}

fn pull_statement(node: ParseNode<'_>) -> Result<PullStatement, LanguageError> {
    let mut parts = node.into_inner();
    let mut statement = PullStatement {
        terms: parse_terms(parts.next()),
        service: service_name(parts.next()),
        after: None,
        wait_ms: None,
        limit: DEFAULT_LIMIT,
    };
    for option in parts {
        match option.as_rule() {
            Rule::after => statement.after = Some(option_text(option)),
            Rule::wait => statement.wait_ms = Some(option_number(option)?),
            _ => statement.limit = hit_limit(option)?,
        }
    }
    Ok(statement)
}

fn run_statement(node: ParseNode<'_>) -> Result<RunStatement, LanguageError> {
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
            Rule::note => statement.note = option_text(option),
            Rule::wait => statement.wait_ms = Some(option_number(option)?),
            _ => statement.ticket = Some(option_text(option)),
        }
    }
    Ok(statement)
}

fn show_statement(node: ParseNode<'_>) -> Result<ShowStatement, LanguageError> {
    let Some(what) = node.into_inner().next() else {
        return Err(missing_statement());
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

fn create_service(node: ParseNode<'_>) -> Result<ConfigStatement, LanguageError> {
    let mut parts = node.into_inner();
    let service = service_name(parts.next());
    let like = service_name(parts.next());
    let options = config_options(parts)?;
    let change = ServiceEdit::Create { service, like, policy: options.policy };
    Ok(ConfigStatement { change, based_on: options.based_on })
}

fn alter_service(node: ParseNode<'_>) -> Result<ConfigStatement, LanguageError> {
    let mut parts = node.into_inner();
    let service = service_name(parts.next());
    let options = config_options(parts)?;
    let change = ServiceEdit::Alter { service, policy: options.policy };
    Ok(ConfigStatement { change, based_on: options.based_on })
}

fn drop_service(node: ParseNode<'_>) -> Result<ConfigStatement, LanguageError> {
    let mut parts = node.into_inner();
    let service = service_name(parts.next());
    let options = config_options(parts)?;
    Ok(ConfigStatement { change: ServiceEdit::Drop { service }, based_on: options.based_on })
}

fn drain_searcher(node: ParseNode<'_>) -> Result<ConfigStatement, LanguageError> {
    let mut parts = node.into_inner();
    let Some(first) = parts.next() else {
        return Err(missing_statement());
    };
    let searcher = SearcherId(bounded_number(first, u64::from(u32::MAX))? as u32);
    let options = config_options(parts)?;
    Ok(ConfigStatement { change: ServiceEdit::Drain { searcher }, based_on: options.based_on })
}

/// The optional parts at the end of a configuration statement.
#[derive(Default)]
struct ConfigOptions {
    policy: PolicyChange,
    based_on: Option<u64>,
}

fn config_options<'text>(parts: impl Iterator<Item = ParseNode<'text>>) -> Result<ConfigOptions, LanguageError> {
    let mut options = ConfigOptions::default();
    for part in parts {
        match part.as_rule() {
            Rule::based_on => options.based_on = Some(option_number(part)?),
            _ => options.policy = policy_change(part)?,
        }
    }
    Ok(options)
}

/// Converts the assignments of a `SET` part.
fn policy_change(set: ParseNode<'_>) -> Result<PolicyChange, LanguageError> {
    let mut change = PolicyChange::default();
    for assignment in set.into_inner().flat_map(Pair::into_inner) {
        match assignment.as_rule() {
            Rule::set_wait => change.wait_ms = Some(option_number(assignment)?),
            Rule::set_coverage => change.least_coverage_per_mille = Some(option_per_mille(assignment)?),
            Rule::set_hedge => change.hedge_per_mille = Some(option_per_mille(assignment)?),
            Rule::set_retry => change.retry_per_mille = Some(option_per_mille(assignment)?),
            Rule::set_priority => change.priority = Some(parse_priority(assignment)),
            _ => change.repeatable = Some(assignment_value(assignment).eq_ignore_ascii_case("YES")),
        }
    }
    Ok(change)
}

fn parse_priority(assignment: ParseNode<'_>) -> Priority {
    match assignment_value(assignment).eq_ignore_ascii_case("LATENCY") {
        true => Priority::Latency,
        false => Priority::Coverage,
    }
}

/// Returns the value of an assignment, as it is written.
fn assignment_value(assignment: ParseNode<'_>) -> String {
    assignment.into_inner().next().map_or(String::new(), |word| word.as_str().to_owned())
}

fn service_name(node: Option<ParseNode<'_>>) -> ServiceName {
    ServiceName::new(node.map_or("", |node| node.as_str()))
}

/// Returns the words of a quoted text in lower case.
fn parse_terms(node: Option<ParseNode<'_>>) -> Vec<String> {
    let text = node.map_or(String::new(), unquote);
    text.split_whitespace().map(str::to_lowercase).collect()
}

/// Returns the content of a quoted text, in which two quotes stand for one.
fn unquote(text: ParseNode<'_>) -> String {
    text.into_inner().next().map_or(String::new(), |characters| characters.as_str().replace("''", "'"))
}

fn option_text(option: ParseNode<'_>) -> String {
    option.into_inner().next().map_or(String::new(), unquote)
}

fn option_number(option: ParseNode<'_>) -> Result<u64, LanguageError> {
    match option.into_inner().next() {
        Some(number) => bounded_number(number, u64::MAX),
        None => Err(missing_statement()),
    }
}

fn hit_limit(option: ParseNode<'_>) -> Result<u32, LanguageError> {
    match option.into_inner().next() {
        Some(number) => bounded_number(number, u64::from(MAX_LIMIT)).map(|limit| limit as u32),
        None => Err(missing_statement()),
    }
}

/// Parses a whole number that must not be above `max`.
fn bounded_number(number: ParseNode<'_>, max: u64) -> Result<u64, LanguageError> {
    match number.as_str().parse::<u64>() {
        Ok(value) if value <= max => Ok(value),
        _ => Err(value_error(&number, format!("0 to {max}"))),
    }
}

/// Parses a percentage, which may have one decimal, into parts per thousand.
fn option_per_mille(option: ParseNode<'_>) -> Result<u32, LanguageError> {
    let Some(percent) = option.into_inner().next() else {
        return Err(missing_statement());
    };
    let digits = percent.as_str().trim_end_matches('%');
    match digits.parse::<f64>() {
        Ok(value) if (0.0..=100.0).contains(&value) => Ok((value * 10.0).round() as u32),
        _ => Err(value_error(&percent, "0% to 100%".to_owned())),
    }
}

fn value_error(node: &ParseNode<'_>, allowed: String) -> LanguageError {
    let (line, column) = node.line_col();
    LanguageError::Value { line, column, found: format!("`{}`", node.as_str()), allowed }
}

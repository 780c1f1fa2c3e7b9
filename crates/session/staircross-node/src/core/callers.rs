//! Commands and statements of callers and operators.

use super::Core;
use super::pending::PendingRequest;
use super::sessions::session_tag;
use crate::api::{Cursor, MemberStatus, ReplyBody, SessionReply, StatementReply, StatusReply};
use crate::caller::{CallerCommand, CallerReply};
use crate::front_message::ReplySender;
use staircross_cluster::{ClusterEvent, MemberState};
use staircross_language::{PullStatement, RunStatement, SearchStatement, Statement};
use staircross_search::{Refusal, RootEvent, Submission, Work};
use staircross_types::query::PagePosition;
use staircross_types::{
    ActionCommand, BootTime, ErrorKind, RequestId, SearchQuery, ServiceName, SessionToken, ShardId, Ticket,
};
use std::net::SocketAddr;
use std::time::Duration;

/// A statement converted into work for the root engine.
struct PreparedRequest {
    service: ServiceName,
    work: Work,
    wait_ms: Option<u64>,
    least_coverage_per_mille: Option<u32>,
    pinned: Option<staircross_types::Snapshot>,
    ticket: Option<Ticket>,
}

impl Core {
    pub(super) fn on_caller(&mut self, now: BootTime, command: CallerCommand, reply: ReplySender) {
        match command {
            CallerCommand::OpenSession => self.open_session(now, reply),
            CallerCommand::ExecuteOperatorStatement(statement) => self.execute_operator_statement(statement, reply),
            CallerCommand::Status => reply.send(CallerReply::Status(Box::new(self.status()))),
            CallerCommand::CloseSession(token)
            | CallerCommand::MintTicket(token)
            | CallerCommand::Execute { token, .. }
                if self.root.sessions.get(token).is_none() =>
            {
                self.look_up_session_then(now, token, command, reply);
            }
            CallerCommand::CloseSession(token) => {
                self.close_session(token);
                self.handle_cluster_event(now, ClusterEvent::ForgetSession { token });
                reply.send(CallerReply::Closed);
            }
            CallerCommand::MintTicket(token) => self.mint_ticket(now, token, reply),
            CallerCommand::Execute { token, statement } => self.execute_caller_statement(now, token, statement, reply),
        }
    }

    fn open_session(&mut self, now: BootTime, reply: ReplySender) {
        if self.stopping_since.is_some() {
            let detail = self.successor().map_or("this node is stopping".to_owned(), |to| format!("ask {to}"));
            reply.send(CallerReply::Refused(Refusal::new(ErrorKind::Leaving, detail)));
            return;
        }
        let token = SessionToken(rand::random());
        if !self.root.sessions.open(now, token) {
            let detail = format!("{} sessions are open here", self.root.sessions.len());
            reply.send(CallerReply::Refused(Refusal::new(ErrorKind::TooManySessions, detail)));
            return;
        }
        let content = CallerReply::Session(SessionReply { session: token, node: self.node });
        self.copy_then_reply(now, token, reply, content);
    }

    fn mint_ticket(&mut self, now: BootTime, token: SessionToken, reply: ReplySender) {
        let ticket = Ticket { node: self.node, serial: rand::random() };
        if let Some(session) = self.root.sessions.touch(now, token) {
            session.add_ticket(ticket);
        }
        self.copy_then_reply(now, token, reply, CallerReply::Ticket(ticket.into()));
    }

    fn execute_caller_statement(
        &mut self,
        now: BootTime,
        token: SessionToken,
        statement: Statement,
        reply: ReplySender,
    ) {
        let prepared = match statement {
            Statement::Search(search) => Ok(prepare_search(search)),
            Statement::Pull(pull) => prepare_pull(pull),
            Statement::Run(run) => prepare_run(run),
            Statement::Show(show) => {
                let body = self.execute_show(&show);
                self.send_body(reply, body);
                return;
            }
            Statement::Config(_) => {
                let detail = "changes of configuration go to /v1/command, not into a session";
                Err(Refusal::new(ErrorKind::BadRequest, detail))
            }
        };
        match prepared.and_then(|prepared| self.check_accepts_requests(now).map(|()| prepared)) {
            Ok(prepared) => self.submit(now, token, prepared, reply),
            Err(refusal) => self.send_body(reply, ReplyBody::Refusal((&refusal).into())),
        }
    }

    /// Checks that this node isn't about to exit and has a service document.
    fn check_accepts_requests(&self, now: BootTime) -> Result<(), Refusal> {
        if self.is_lingering_over(now) {
            return Err(Refusal::new(ErrorKind::Leaving, "this node is stopping; the session lives on at the others"));
        }
        if self.cluster.config().is_none() {
            let detail = "no document of the platform is known yet; the session stays open";
            return Err(Refusal::new(ErrorKind::NoConfiguration, detail));
        }
        Ok(())
    }

    fn submit(&mut self, now: BootTime, token: SessionToken, prepared: PreparedRequest, reply: ReplySender) {
        let request = RequestId { node: self.node, sequence: self.next_sequence };
        self.next_sequence += 1;
        let pending = PendingRequest {
            session: token,
            session_tag: session_tag(token),
            session_before: self.root.sessions.get(token).cloned(),
            service: prepared.service.clone(),
            started: now,
            reply,
        };
        self.pending.insert(request.sequence, pending);
        let submission = Submission {
            request,
            session: token,
            service: prepared.service,
            work: prepared.work,
            wait: prepared.wait_ms.map(Duration::from_millis),
            least_coverage_per_mille: prepared.least_coverage_per_mille,
            pinned: prepared.pinned,
            ticket: prepared.ticket,
        };
        self.handle_root_event(now, RootEvent::Submit(submission));
    }

    fn execute_operator_statement(&mut self, statement: Statement, reply: ReplySender) {
        match statement {
            Statement::Show(show) => {
                let body = self.execute_show(&show);
                self.send_body(reply, body);
            }
            Statement::Config(change) => {
                let body = self.plan_edit(&change);
                self.send_body(reply, body);
            }
            Statement::Search(_) | Statement::Pull(_) | Statement::Run(_) => {
                let refusal = Refusal::new(ErrorKind::BadRequest, "reading and acting need a session");
                self.send_body(reply, ReplyBody::Refusal((&refusal).into()));
            }
        }
    }

    /// Sends the reply to a statement that didn't become a request.
    pub(super) fn send_body(&self, reply: ReplySender, body: ReplyBody) {
        let moved_to = self.successor();
        reply.send(CallerReply::Statement(StatementReply { request: String::new(), body, moved_to }));
    }

    /// Returns, while this node is stopping, the address of the live node that callers should use next. Nodes
    /// in the zone of this node are preferred.
    pub(super) fn successor(&self) -> Option<SocketAddr> {
        self.stopping_since?;
        let own_zone = &self.settings.node.zone;
        let staying =
            self.cluster.members().filter(|member| member.node != self.node && member.state == MemberState::Alive);
        staying.min_by_key(|member| (&member.zone != own_zone, member.node)).map(|member| member.caller_address)
    }

    fn status(&self) -> StatusReply {
        let has_config = self.cluster.config().is_some();
        let members = self.cluster.members().map(|member| MemberStatus {
            node: member.node,
            address: member.caller_address,
            region: member.region.clone(),
            zone: member.zone.to_string(),
            state: format!("{:?}", member.state).to_lowercase(),
            revision: self.cluster.revision_of(member.node),
        });
        StatusReply {
            node: self.node,
            leaving: self.stopping_since.is_some(),
            has_config,
            ready: self.stopping_since.is_none() && self.is_ready,
            revision: self.cluster.revision(),
            sessions: self.root.sessions.len(),
            requests_in_flight: self.root.in_flight(),
            owned_searchers: self.leaf.views().len(),
            members: members.collect(),
        }
    }
}

fn prepare_search(search: SearchStatement) -> PreparedRequest {
    PreparedRequest {
        service: search.service,
        work: Work::Search(SearchQuery { terms: search.terms, limit: search.limit, after: None }),
        wait_ms: search.wait_ms,
        least_coverage_per_mille: search.coverage_per_mille,
        pinned: None,
        ticket: None,
    }
}

fn prepare_pull(pull: PullStatement) -> Result<PreparedRequest, Refusal> {
    let cursor = match &pull.after {
        None => None,
        Some(text) => Some(Cursor::decode(text).ok_or_else(|| {
            Refusal::new(ErrorKind::BadRequest, format!("AFTER '{text}' is not a cursor of an earlier page"))
        })?),
    };
    let start = PagePosition { shard: ShardId(0), document: String::new() };
    let after = cursor.as_ref().map_or(start, |cursor| cursor.position.clone());
    Ok(PreparedRequest {
        service: pull.service,
        work: Work::Search(SearchQuery { terms: pull.terms, limit: pull.limit, after: Some(after) }),
        wait_ms: pull.wait_ms,
        least_coverage_per_mille: None,
        pinned: cursor.map(|cursor| cursor.snapshot),
        ticket: None,
    })
}

fn prepare_run(run: RunStatement) -> Result<PreparedRequest, Refusal> {
    let Some(text) = run.ticket else {
        let detail = "RUN needs TICKET '…', so that it runs at most once; get one from the session's tickets";
        return Err(Refusal::new(ErrorKind::NotRepeatable, detail));
    };
    let ticket =
        text.parse().map_err(|error| Refusal::new(ErrorKind::BadTicket, format!("TICKET '{text}': {error}")))?;
    Ok(PreparedRequest {
        service: run.service,
        work: Work::Act(ActionCommand { verb: run.verb, target: run.target, note: run.note }),
        wait_ms: run.wait_ms,
        least_coverage_per_mille: None,
        pinned: None,
        ticket: Some(ticket),
    })
}

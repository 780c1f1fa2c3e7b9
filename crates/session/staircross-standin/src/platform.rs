//! Platform stand-in: an HTTP server for a service document with revisions and for a machine list. Nodes only read
//! them; tests set them through control endpoints.

use crate::http::{json_response, read_json, text_response};
use oxhttp::Server;
use oxhttp::model::{Body, Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use staircross_config::{MachineList, PlatformDocument};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Behaviour of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformMode {
    /// Serves the newest document.
    #[default]
    Up,
    /// Answers every read with the status 503.
    Down,
    /// Serves the document that was the newest one when this mode was set.
    Stale,
    /// Serves the document published before the newest one.
    SteppedBack,
}

#[derive(Default)]
struct State {
    mode: PlatformMode,
    documents: Vec<PlatformDocument>,
    /// Index of the document served in the mode [`PlatformMode::Stale`].
    stale_index: usize,
    machines: MachineList,
}

/// A running platform stand-in.
#[derive(Clone)]
pub struct PlatformStandin {
    state: Arc<Mutex<State>>,
}

impl PlatformStandin {
    /// Starts the platform with its first document.
    pub fn start(listen: SocketAddr, document: PlatformDocument) -> std::io::Result<Self> {
        let first = State { documents: vec![document], ..State::default() };
        let platform = PlatformStandin { state: Arc::new(Mutex::new(first)) };
        let handler = platform.clone();
        Server::new(move |request| handler.handle(request))
            .bind(listen)
            .with_global_timeout(Duration::from_secs(60))
            .spawn()?;
        Ok(platform)
    }

    /// Publishes a document.
    pub fn publish(&self, document: PlatformDocument) {
        self.lock().documents.push(document);
    }

    /// Sets the machine list.
    pub fn set_machines(&self, machines: MachineList) {
        self.lock().machines = machines;
    }

    /// Sets how the platform behaves from now on.
    pub fn set_mode(&self, mode: PlatformMode) {
        let mut state = self.lock();
        state.stale_index = state.documents.len().saturating_sub(1);
        state.mode = mode;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, request: &mut Request<Body>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::POST, "/v1/control/mode") => match read_json::<PlatformMode>(request) {
                Ok(mode) => {
                    self.set_mode(mode);
                    text_response(StatusCode::OK, "done\n")
                }
                Err(response) => response,
            },
            (Method::POST, "/v1/control/document") => match read_json::<PlatformDocument>(request) {
                Ok(document) => {
                    self.publish(document);
                    text_response(StatusCode::OK, "done\n")
                }
                Err(response) => response,
            },
            (Method::POST, "/v1/control/machines") => match read_json::<MachineList>(request) {
                Ok(machines) => {
                    self.set_machines(machines);
                    text_response(StatusCode::OK, "done\n")
                }
                Err(response) => response,
            },
            (Method::GET, "/v1/document") => self.document(),
            (Method::GET, "/v1/machines") => self.machines(),
            _ => text_response(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    fn document(&self) -> Response<Body> {
        let state = self.lock();
        let newest = state.documents.len().saturating_sub(1);
        let index = match state.mode {
            PlatformMode::Up => newest,
            PlatformMode::Stale => state.stale_index,
            PlatformMode::SteppedBack => newest.saturating_sub(1),
            PlatformMode::Down => return text_response(StatusCode::SERVICE_UNAVAILABLE, "down\n"),
        };
        match state.documents.get(index) {
            Some(document) => json_response(document),
            None => text_response(StatusCode::NOT_FOUND, "no document\n"),
        }
    }

    fn machines(&self) -> Response<Body> {
        let state = self.lock();
        match state.mode {
            PlatformMode::Down => text_response(StatusCode::SERVICE_UNAVAILABLE, "down\n"),
            _ => json_response(&state.machines),
        }
    }
}

//! Configuration documents of the operator.

/// Returns a route to one service; `kind` is its `type`.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, max_attempts: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"path-prefix\":\"/{name}/\",\"type\":\"{kind}\",\
         \"timeout-ms\":{timeout_ms},\"latency-goal-ms\":1000,\"priority\":2,\"service\":\"{service}\",\
         \"max-attempts\":{max_attempts}}}"
    )
}

/// Returns a configuration document.
pub fn document(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-conns\":110,\"protocol\":\"h1\"}}")
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

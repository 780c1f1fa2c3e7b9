//! What a node's parts are made with, by its settings.

use crate::server::Endpoint;
use crate::settings::GatewaySettings;
use rand::Rng;
use staircross_quota::QuotaBound;
use staircross_routing::ColdBound;
use staircross_routing::decision::extra_budget::ExtraBound;
use staircross_routing::engine::RoutingSettings;
use staircross_types::{BootTime, NodeId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub(super) fn listeners(settings: &GatewaySettings) -> Vec<(Endpoint, &'static str, SocketAddr)> {
    let listen = &settings.listen;
    let mut all = vec![
        (Endpoint::Callers, "listen.callers", listen.callers),
        (Endpoint::Readiness, "listen.readiness", listen.readiness),
        (Endpoint::Directory, "listen.directory", listen.directory),
        (Endpoint::Peers, "listen.peers", listen.peers),
    ];
    all.extend(listen.metrics.map(|address| (Endpoint::Metrics, "listen.metrics", address)));
    all
}

pub(super) fn extra_bound(settings: &GatewaySettings) -> ExtraBound {
    ExtraBound {
        ratio: settings.bounds.extra_ratio,
        window: Duration::from_secs_f64(settings.bounds.extra_window_s),
        slack: settings.bounds.extra_slack,
    }
}

pub(super) fn cold_bound(settings: &GatewaySettings) -> ColdBound {
    ColdBound { factor: settings.bounds.cold_factor, slack: settings.bounds.cold_slack }
}

pub(super) fn quota_bound(settings: &GatewaySettings) -> QuotaBound {
    QuotaBound {
        window: Duration::from_secs_f64(settings.bounds.quota_window_s),
        over: settings.bounds.quota_over,
        slack: settings.bounds.quota_slack,
    }
}

pub(super) fn routing_settings(now: BootTime, node: NodeId, settings: &GatewaySettings) -> RoutingSettings {
    let regions = settings.zones.iter();
    RoutingSettings {
        extra: extra_bound(settings),
        zone: Arc::from(settings.node.zone.as_str()),
        regions: regions.map(|(zone, region)| (Arc::from(zone.as_str()), Arc::from(region.as_str()))).collect(),
        lapse_grace: settings.lapse_grace(),
        cold: cold_bound(settings),
        max_requests: settings.max_requests(),
        node,
        quota: quota_bound(settings),
        started_at: now,
        policy: settings.policy.routing,
        restarted_at: (!settings.node.first_start).then_some(now),
        seed: rand::rng().random(),
    }
}

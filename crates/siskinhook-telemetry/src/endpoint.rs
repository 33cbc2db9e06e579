//! HTTP endpoint for metrics, health and readiness.

use std::sync::{Arc, PoisonError, RwLock};

use anyhow::{Context, Result};
use axum::{
    Router,
    extract::State,
    http::{StatusCode, header},
    response::{IntoResponse, Response},
    routing::get,
};
use tokio::net::TcpListener;

use crate::{Event, Metrics};

/// Readiness state of a node, which tells the load balancer whether to send callers to it.
///
/// Clones share the state.
#[derive(Clone, Debug)]
pub struct Readiness {
    reason: Arc<RwLock<Option<String>>>,
}

impl Readiness {
    /// Creates a state that is not ready for the given reason.
    #[must_use]
    pub fn waiting(reason: impl Into<String>) -> Self {
        Self {
            reason: Arc::new(RwLock::new(Some(reason.into()))),
        }
    }

    /// Marks the node as ready.
    pub fn set_ready(&self) {
        self.set(None);
    }

    /// Marks the node as not ready for the given reason.
    pub fn set_waiting(&self, reason: impl Into<String>) {
        self.set(Some(reason.into()));
    }

    /// Returns why the node is not ready, or `None` if it is ready.
    #[must_use]
    pub fn reason(&self) -> Option<String> {
        self.reason
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn set(&self, reason: Option<String>) {
        let mut current = self.reason.write().unwrap_or_else(PoisonError::into_inner);
        if *current == reason {
            return;
        }
        match &reason {
            None => crate::event!(Event::NodeReady; "ready for callers"),
            Some(reason) => crate::event!(Event::NodeWaiting; "not ready for callers: {reason}"),
        }
        *current = reason;
    }
}

/// Serves `/metrics`, `/health` (200 while the process responds) and `/ready` (200, or 503 with the
/// reason if the node is not ready) until `shutdown` completes.
///
/// # Errors
/// Fails when the listener fails.
pub async fn serve(
    listener: TcpListener,
    metrics: Metrics,
    readiness: Readiness,
    shutdown: impl Future<Output = ()> + Send + 'static,
) -> Result<()> {
    let router = Router::new()
        .route("/metrics", get(show_metrics))
        .with_state(metrics)
        .route("/health", get(async || "ok\n"))
        .route("/ready", get(show_ready).with_state(readiness));
    axum::serve(listener, router)
        .with_graceful_shutdown(shutdown)
        .await
        .context("the metrics endpoint failed")
}

async fn show_metrics(State(metrics): State<Metrics>) -> Response {
    match metrics.encode_text() {
        Ok(text) => {
            let content_type = [(header::CONTENT_TYPE, prometheus::TEXT_FORMAT)];
            (content_type, text).into_response()
        }
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, format!("{error:#}\n")).into_response(),
    }
}

async fn show_ready(State(readiness): State<Readiness>) -> Response {
    match readiness.reason() {
        None => "ready\n".into_response(),
        Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")).into_response(),
    }
}

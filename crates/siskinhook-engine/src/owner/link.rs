//! The owner's side of a link: hands requests to a worker task and returns its answers.

use std::sync::Arc;

use siskinhook_types::{Failure, FailureKind, Link, Part, Request, Targets};
use tokio::{
    sync::mpsc,
    task::{AbortHandle, JoinHandle},
};

use super::worker::Worker;
use crate::core::{Core, unavailable};

/// The owner's side of a link: runs requests on this node's servers.
///
/// Dropping it in the middle of a request or transaction closes the server connection, which
/// makes the server roll back.
pub struct OwnerLink<T: Targets> {
    core: Arc<Core<T>>,
    worker_handle: Option<WorkerHandle>,
}

struct WorkerHandle {
    requests: mpsc::Sender<Request>,
    parts: mpsc::Receiver<Result<Part, Failure>>,
    abort: AbortHandle,
}

impl Drop for WorkerHandle {
    fn drop(&mut self) {
        self.abort.abort();
    }
}

impl<T: Targets> OwnerLink<T> {
    pub(crate) const fn new(core: Arc<Core<T>>) -> Self {
        Self {
            core,
            worker_handle: None,
        }
    }

    fn worker_handle(&mut self) -> &mut WorkerHandle {
        let core = &self.core;
        self.worker_handle.get_or_insert_with(|| {
            let (requests, incoming) = mpsc::channel(1);
            let (outgoing, parts) = mpsc::channel(core.settings.part_buffer);
            let worker = Worker::new(core.clone(), outgoing);
            let task: JoinHandle<()> = tokio::spawn(worker.run(incoming));
            WorkerHandle {
                requests,
                parts,
                abort: task.abort_handle(),
            }
        })
    }
}

impl<T: Targets> Link for OwnerLink<T> {
    async fn start(&mut self, request: Request) -> Result<(), Failure> {
        let sent = self.worker_handle().requests.try_send(request);
        sent.map_err(|_| unavailable("a request is still in progress on the link; open another"))
    }

    async fn next(&mut self) -> Result<Part, Failure> {
        let part = self.worker_handle().parts.recv().await;
        part.unwrap_or_else(|| {
            Err(Failure::may_have_run(
                FailureKind::ConnectionLost,
                "the owner ended the link in the middle of the request",
            ))
        })
    }
}

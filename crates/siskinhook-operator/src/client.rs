//! JSON-RPC calls from siskinctl with failover to the next node.

use std::{
    error::Error,
    io::{self, ErrorKind, Write},
    time::Duration,
};

use jsonrpsee::{
    core::ClientError,
    http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder},
};
use tokio::{
    pin,
    time::{Instant, interval_at},
};

use crate::ExitError;

/// Time limit of a call. To accept an edit, a node needs up to 8 s plus the time of its last calls
/// to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval of the progress messages while a call is in flight.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Whether a call changes state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The call only reads.
    None,
    /// The call changes state; it is idempotent.
    Change,
}

/// The nodes that a command may call, in order of preference.
#[derive(Clone, Debug)]
pub struct Nodes {
    addresses: Vec<String>,
    headers: HeaderMap,
}

impl Nodes {
    /// Creates a list of the nodes at these addresses, with the credentials of the operator.
    pub fn new(addresses: Vec<String>, operator: &str, token: &str) -> Result<Self, ExitError> {
        if addresses.is_empty() {
            return Err(ExitError::Usage(
                "no node is given; add --node ip:port or set SISKINCTL_NODES".into(),
            ));
        }
        let mut value =
            HeaderValue::from_str(&format!("Bearer {operator}:{token}")).map_err(|_| {
                ExitError::Usage("the token has characters that an HTTP header cannot hold".into())
            })?;
        value.set_sensitive(true);
        let mut headers = HeaderMap::new();
        headers.insert("authorization", value);
        Ok(Self { addresses, headers })
    }

    /// Calls the nodes in order until one answers. Calls must be idempotent: when the answer of a
    /// node is lost, the next node gets the same call. If `effect` is `Change` and no node answers,
    /// a lost answer is reported as an unknown outcome.
    pub async fn call<T>(
        &self,
        err: &mut dyn Write,
        effect: Effect,
        call: impl AsyncFn(&HttpClient) -> Result<T, ClientError>,
    ) -> Result<T, ExitError> {
        let mut last_error = None;
        for (index, address) in self.addresses.iter().enumerate() {
            let client = HttpClientBuilder::default()
                .request_timeout(CALL_TIMEOUT)
                .set_headers(self.headers.clone())
                .build(format!("http://{address}"))
                .map_err(|error| {
                    ExitError::Usage(format!("{address:?} is not a valid node address: {error}"))
                })?;
            let error = match with_progress(err, address, call(&client)).await? {
                Ok(value) => return Ok(value),
                Err(ClientError::Call(object)) => ExitError::from(&object),
                Err(error) if effect == Effect::None || never_sent(&error) => {
                    ExitError::Unavailable(format!("{address}: {error}"))
                }
                Err(error) => ExitError::Unknown(format!(
                    "{address}: {error}; the request may have taken effect, repeat it with the \
                     same arguments and --id"
                )),
            };
            if !error.is_retryable() {
                return Err(error);
            }
            if index + 1 < self.addresses.len() {
                writeln!(err, "{error}; trying the next node")?;
            }
            // An unknown outcome stays unknown until a node answers the call.
            if !matches!(last_error, Some(ExitError::Unknown(_))) {
                last_error = Some(error);
            }
        }
        Err(last_error.unwrap_or_else(|| ExitError::Unavailable("no node answered".into())))
    }
}

/// Returns whether no connection was opened, so that the node cannot have received the request.
fn never_sent(error: &ClientError) -> bool {
    let ClientError::Transport(error) = error else {
        return false;
    };
    let mut cause: Option<&(dyn Error + 'static)> = Some(error.as_ref());
    while let Some(error) = cause {
        let refused = error.downcast_ref::<io::Error>().is_some_and(|error| {
            matches!(
                error.kind(),
                ErrorKind::ConnectionRefused
                    | ErrorKind::HostUnreachable
                    | ErrorKind::NetworkUnreachable
            )
        });
        if refused {
            return true;
        }
        cause = error.source();
    }
    false
}

/// Waits for a call, and writes a progress message every second until it is done.
async fn with_progress<T>(
    err: &mut dyn Write,
    address: &str,
    call: impl Future<Output = T>,
) -> Result<T, ExitError> {
    let start = Instant::now();
    let mut ticks = interval_at(start + PROGRESS_INTERVAL, PROGRESS_INTERVAL);
    pin!(call);
    loop {
        tokio::select! {
            value = &mut call => return Ok(value),
            _ = ticks.tick() => {
                writeln!(err, "waiting for {address}, {} s", start.elapsed().as_secs())?;
            }
        }
    }
}

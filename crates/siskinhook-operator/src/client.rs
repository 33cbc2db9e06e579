//! Calls to the first node that answers.

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

/// Time limit of a call. A node needs up to 8 s to accept an edit and the time of the last
/// calls to the platform.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which a person is told that a call takes long, and the interval between notes.
const PATIENCE: Duration = Duration::from_secs(1);

/// Whether a call changes something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It only reads.
    None,
    /// It changes something, and may be repeated.
    Change,
}

/// The nodes that a command may ask, in this order.
#[derive(Clone, Debug)]
pub struct Nodes {
    addresses: Vec<String>,
    headers: HeaderMap,
}

impl Nodes {
    /// Nodes at these addresses, asked as this operator.
    pub fn new(addresses: Vec<String>, operator: &str, token: &str) -> Result<Self, ExitError> {
        if addresses.is_empty() {
            return Err(ExitError::Usage(
                "no node is stated; add --node ip:port or set SISKINCTL_NODES".into(),
            ));
        }
        let mut value =
            HeaderValue::from_str(&format!("Bearer {operator}:{token}")).map_err(|_| {
                ExitError::Usage("the token has characters that no header takes".into())
            })?;
        value.set_sensitive(true);
        let mut headers = HeaderMap::new();
        headers.insert("authorization", value);
        Ok(Self { addresses, headers })
    }

    /// Calls the first node that answers. Calls must be repeatable: when a node's answer is
    /// lost, the next one gets the same call. `effect` says whether the call changes something,
    /// so that a lost answer is reported as an unknown outcome.
    pub async fn call<T>(
        &self,
        notes: &mut dyn Write,
        effect: Effect,
        call: impl AsyncFn(&HttpClient) -> Result<T, ClientError>,
    ) -> Result<T, ExitError> {
        let mut last = None;
        for (index, address) in self.addresses.iter().enumerate() {
            let client = HttpClientBuilder::default()
                .request_timeout(TIMEOUT)
                .set_headers(self.headers.clone())
                .build(format!("http://{address}"))
                .map_err(|error| {
                    ExitError::Usage(format!("{address:?} is no node address: {error}"))
                })?;
            let error = match noted(notes, address, call(&client)).await? {
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
            if !error.worth_another_node() {
                return Err(error);
            }
            if index + 1 < self.addresses.len() {
                writeln!(notes, "{error}; trying the next node")?;
            }
            // An outcome that is unknown stays so until a node tells it.
            if !matches!(last, Some(ExitError::Unknown(_))) {
                last = Some(error);
            }
        }
        Err(last.unwrap_or_else(|| ExitError::Unavailable("no node answered".into())))
    }
}

/// Returns whether the connection was refused, so that the request cannot have arrived.
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

/// Waits for a call and notes every second that it is still in progress.
async fn noted<T>(
    notes: &mut dyn Write,
    address: &str,
    call: impl Future<Output = T>,
) -> Result<T, ExitError> {
    let start = Instant::now();
    let mut ticks = interval_at(start + PATIENCE, PATIENCE);
    pin!(call);
    loop {
        tokio::select! {
            value = &mut call => return Ok(value),
            _ = ticks.tick() => {
                writeln!(notes, "waiting for {address}, {} s", start.elapsed().as_secs())?;
            }
        }
    }
}

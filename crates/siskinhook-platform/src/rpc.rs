//! Client of the platform over JSON-RPC.

use std::time::Duration;

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use jsonrpsee::{
    core::ClientError,
    http_client::{HttpClient, HttpClientBuilder},
};
use siskinhook_types::{Batch, CommitOutcome, Platform, PlatformError, Row, VmRecord};
use tokio::time::timeout;

use crate::PlatformApiClient;

/// Maximum size of a request or response. A catalogue snapshot of 690 databases takes about
/// 0.5 MB.
const MAX_MESSAGE_BYTES: u32 = 64 * 1024 * 1024;

/// Client of the platform's JSON-RPC interface over HTTP.
#[derive(Clone, Debug)]
pub struct RpcPlatform {
    client: HttpClient,
    call_timeout: Duration,
}

impl RpcPlatform {
    /// Creates a client of the platform at `address` (`ip:port`). The client connects on demand;
    /// `call_timeout` is the time limit of each call.
    ///
    /// # Errors
    /// Returns `NotDone` when the address is malformed.
    pub fn new(address: &str, call_timeout: Duration) -> Result<Self, PlatformError> {
        let client = HttpClientBuilder::default()
            .request_timeout(call_timeout)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(format!("http://{address}"))
            .map_err(|error| {
                PlatformError::NotDone(format!(
                    "{address:?} is not a valid platform address: {error}; write ip:port"
                ))
            })?;
        Ok(Self {
            client,
            call_timeout,
        })
    }

    async fn read<T>(
        &self,
        call: impl Future<Output = Result<T, ClientError>>,
    ) -> Result<T, PlatformError> {
        match timeout(self.call_timeout, call).await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(error)) => Err(PlatformError::NotDone(error.to_string())),
            Err(_) => Err(PlatformError::NotDone(self.timeout_message())),
        }
    }

    async fn write<T>(
        &self,
        call: impl Future<Output = Result<T, ClientError>>,
    ) -> Result<T, PlatformError> {
        match timeout(self.call_timeout, call).await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(error)) => Err(write_error(&error)),
            Err(_) => Err(PlatformError::MayBeDone(self.timeout_message())),
        }
    }

    fn timeout_message(&self) -> String {
        format!("no answer within {} ms", self.call_timeout.as_millis())
    }
}

/// Only an error object proves that the platform rejected a write. After a transport error it is
/// unknown whether the request took effect.
fn write_error(error: &ClientError) -> PlatformError {
    let text = error.to_string();
    match error {
        ClientError::Call(_) => PlatformError::NotDone(text),
        _ => PlatformError::MayBeDone(text),
    }
}

impl Platform for RpcPlatform {
    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        self.read(PlatformApiClient::get(&self.client, key.into()))
            .await
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        self.read(PlatformApiClient::list(
            &self.client,
            prefix.into(),
            after.into(),
            limit,
        ))
        .await
    }

    async fn commit(&self, batch: Batch) -> Result<CommitOutcome, PlatformError> {
        self.write(PlatformApiClient::commit(&self.client, batch))
            .await
    }

    async fn put_object(&self, key: &str, data: Bytes) -> Result<(), PlatformError> {
        self.write(PlatformApiClient::put_object(
            &self.client,
            key.into(),
            STANDARD.encode(data),
        ))
        .await
    }

    async fn get_object(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        let text = self
            .read(PlatformApiClient::get_object(&self.client, key.into()))
            .await?;
        text.map(|text| {
            STANDARD.decode(text).map(Bytes::from).map_err(|error| {
                PlatformError::NotDone(format!("object {key} is not valid base64: {error}"))
            })
        })
        .transpose()
    }

    async fn vms(&self) -> Result<Vec<VmRecord>, PlatformError> {
        self.read(PlatformApiClient::vms(&self.client)).await
    }
}

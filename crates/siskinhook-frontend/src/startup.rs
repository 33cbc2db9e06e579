//! Startup of a caller connection: authentication, selection of the database, startup options.

use std::{collections::HashMap, fmt::Debug, net::SocketAddr};

use async_trait::async_trait;
use futures::Sink;
use pgwire::{
    api::{
        ClientInfo, METADATA_DATABASE, METADATA_USER,
        auth::{
            AuthOutcome, ServerParameterProvider, StartupHandler, mechanism::AuthMechanismFactory,
            protocol_negotiation, save_startup_parameters_to_metadata,
        },
    },
    error::{PgWireError, PgWireResult},
    messages::{PgWireBackendMessage, PgWireFrontendMessage},
};
use siskinhook_types::{Failure, FailureKind, sqlstate};

use crate::{
    Backend, CallerOptions, CallerSession, Filter, connection::Connection, messages,
    options::PREFIX, sessions::SessionInfo,
};

/// Server version reported to drivers, which use it to select the SQL of their own queries.
pub(crate) const SERVER_VERSION: &str = "16.6 (siskinhook)";

/// Server parameters reported to drivers at startup.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerParameters;

impl ServerParameterProvider for ServerParameters {
    fn server_parameters<C: ClientInfo>(&self, _client: &C) -> Option<HashMap<String, String>> {
        let pairs = [
            ("server_version", SERVER_VERSION),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, YMD"),
            ("TimeZone", "UTC"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ];
        Some(
            pairs
                .map(|(name, value)| (name.into(), value.into()))
                .into(),
        )
    }
}

#[async_trait]
impl<B, F> StartupHandler for Connection<B, F>
where
    B: Backend,
    F: Filter<B::Session>,
{
    async fn on_startup<C>(
        &self,
        client: &mut C,
        message: PgWireFrontendMessage,
    ) -> PgWireResult<()>
    where
        C: ClientInfo + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let driver = &self.shared.driver;
        let outcome = match message {
            PgWireFrontendMessage::Startup(ref startup) => {
                protocol_negotiation(client, startup).await?;
                save_startup_parameters_to_metadata(client, startup);
                let mechanism = self.shared.mechanisms.create();
                driver.begin_authentication(client, mechanism).await?
            }
            PgWireFrontendMessage::PasswordMessageFamily(message) => {
                let result = driver.advance_authentication(client, message).await;
                result.map_err(|error| with_user_name(error, client))?
            }
            _ => {
                return Err(messages::fatal(
                    sqlstate::PROTOCOL,
                    "unexpected message before authentication; send a startup message first",
                ));
            }
        };
        let AuthOutcome::Authenticated { final_message, .. } = outcome else {
            return Ok(());
        };
        self.open_session(client.socket_addr(), client.metadata())
            .await
            .map_err(|failure| messages::fatal(&failure.code, failure.message))?;
        driver.complete_authentication(client, final_message).await
    }
}

impl<B, F> Connection<B, F>
where
    B: Backend,
    F: Filter<B::Session>,
{
    /// Opens the session of an authenticated caller.
    async fn open_session(
        &self,
        address: SocketAddr,
        metadata: &HashMap<String, String>,
    ) -> Result<(), Failure> {
        let user = metadata
            .get(METADATA_USER)
            .map(String::as_str)
            .unwrap_or_default();
        // As in PostgreSQL, the database defaults to the user name.
        let database = metadata.get(METADATA_DATABASE).map_or(user, String::as_str);
        let mut options = CallerOptions::default();
        for (name, value) in startup_options(metadata)? {
            options.set(&name, &value)?;
        }
        if let Some(token) = &options.token
            && token.database != database
        {
            return Err(Failure::not_run(
                FailureKind::BadRequest,
                sqlstate::INVALID_VALUE,
                format!(
                    "token {token} belongs to database {:?}, the connection to {database:?}; \
                     pass a token of this database",
                    token.database
                ),
            ));
        }
        let mut session = self.shared.backend.open(database.into(), user.into())?;
        session.set_options(&options);
        let mut state = self.state.lock().await;
        let info = SessionInfo {
            database: database.into(),
            caller: user.into(),
            session: options.session.clone().unwrap_or_default(),
            address,
        };
        state.registration = Some(self.shared.sessions.add(info));
        state.options = options;
        state.session = Some(session);
        Ok(())
    }
}

/// Adds the user name to the error of a failed login, which pgwire omits for SCRAM.
fn with_user_name<C: ClientInfo>(error: PgWireError, client: &C) -> PgWireError {
    match error {
        PgWireError::InvalidPassword(_) => {
            let user = client.metadata().get(METADATA_USER).cloned();
            PgWireError::InvalidPassword(user.unwrap_or_default())
        }
        other => other,
    }
}

/// Collects the `siskinhook.*` settings from the startup parameters and from the `options`
/// parameter.
fn startup_options(metadata: &HashMap<String, String>) -> Result<Vec<(String, String)>, Failure> {
    let mut settings: Vec<(String, String)> = metadata
        .iter()
        .filter_map(|(name, value)| Some((name.strip_prefix(PREFIX)?.to_owned(), value.clone())))
        .collect();
    settings.sort();
    let Some(options) = metadata.get("options") else {
        return Ok(settings);
    };
    let text = options.replace("--", "-c ").replace("-c", " ");
    for pair in text.split_whitespace() {
        let Some((name, value)) = pair.split_once('=') else {
            return Err(Failure::not_run(
                FailureKind::BadRequest,
                sqlstate::INVALID_VALUE,
                format!("cannot read startup option {pair:?}; expected -c {PREFIX}name=value"),
            ));
        };
        if let Some(name) = name.strip_prefix(PREFIX) {
            settings.push((name.to_owned(), value.to_owned()));
        }
    }
    Ok(settings)
}

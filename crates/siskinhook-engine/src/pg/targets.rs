//! Opens connections to database servers.

use std::{net::IpAddr, sync::Arc, time::Duration};

use indexmap::IndexMap;
use pgwire::{
    api::client::{Config, auth::DefaultStartupHandler},
    error::PgWireClientError,
    tokio::client::PgWireClient,
};
use siskinhook_types::{
    Catalogue, Failure, FailureKind, NodeId, Purpose, Server, Targets, sqlstate,
};
use smol_str::SmolStr;
use tokio::sync::watch;

use super::session::PgSession;
use crate::clock::{now, until};

/// User and password for the targets of a service.
#[derive(Clone, PartialEq, Eq)]
pub struct Login {
    /// Name of the database user.
    pub user: String,
    /// Password of the database user.
    pub password: String,
}

impl std::fmt::Debug for Login {
    /// Leaves the password out, so that it cannot reach a log.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Login")
            .field("user", &self.user)
            .finish_non_exhaustive()
    }
}

/// Options for connections to servers. Construct with `..Default::default()`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PgOptions {
    /// Maximum time to open a connection.
    pub connect_timeout: Duration,
    /// Logins by the name under which catalogue entries refer to them.
    pub logins: IndexMap<SmolStr, Login>,
    /// Addresses to dial instead of those in the catalogue, by the replaced address.
    pub address_overrides: IndexMap<SmolStr, SmolStr>,
}

impl Default for PgOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            logins: IndexMap::new(),
            address_overrides: IndexMap::new(),
        }
    }
}

/// Opens connections to database servers over the `PostgreSQL` protocol.
#[derive(Clone)]
pub struct PgTargets {
    node: NodeId,
    catalogue: watch::Receiver<Arc<Catalogue>>,
    options: Arc<PgOptions>,
}

impl PgTargets {
    /// Creates the connector of a node. The servers see the node's name as `application_name`.
    /// The database and login of a server come from its catalogue entry.
    #[must_use]
    pub fn new(
        node: NodeId,
        catalogue: watch::Receiver<Arc<Catalogue>>,
        options: PgOptions,
    ) -> Self {
        Self {
            node,
            catalogue,
            options: Arc::new(options),
        }
    }

    fn config(&self, server: &Server) -> Result<Config, Failure> {
        let catalogue = self.catalogue.borrow().clone();
        let found = catalogue.entries.values().find_map(|entry| {
            let holds = |servers: &[Server]| servers.iter().any(|s| s.name == server.name);
            let mut databases = entry.databases.iter();
            let (database, _) = databases.find(|(_, database)| holds(&database.servers))?;
            Some((entry, database))
        });
        let Some((entry, database)) = found else {
            return Err(unreachable(server, "it is not in the catalogue any more"));
        };
        let Some(login) = self.options.logins.get(&entry.credentials) else {
            let reason = format!(
                "the settings have no login {:?}, which entry {} names",
                entry.credentials, entry.name
            );
            return Err(unreachable(server, &reason));
        };
        let address = self
            .options
            .address_overrides
            .get(&server.address)
            .unwrap_or(&server.address);
        let parsed = address.rsplit_once(':').and_then(|(ip, port)| {
            let ip: IpAddr = ip.trim_matches(['[', ']']).parse().ok()?;
            Some((ip, port.parse::<u16>().ok()?))
        });
        let Some((ip, port)) = parsed else {
            let reason = format!("its address {address:?} is not ip:port; correct the entry");
            return Err(unreachable(server, &reason));
        };
        let mut config = Config::new();
        config
            .hostaddr(ip)
            .port(port)
            .user(&login.user)
            .password(&login.password)
            .dbname(database.as_str())
            .application_name(self.node.as_str());
        Ok(config)
    }
}

impl Targets for PgTargets {
    type Session = PgSession;

    async fn connect(&self, server: &Server, _: Purpose) -> Result<PgSession, Failure> {
        let config = Arc::new(self.config(server)?);
        let connect_deadline = now() + self.options.connect_timeout;
        let opening = PgWireClient::connect(config, DefaultStartupHandler::new(), None);
        match until(connect_deadline, opening).await {
            Some(Ok(client)) => Ok(PgSession::new(client)),
            Some(Err(error)) => Err(connect_failure(server, &error)),
            None => Err(unreachable(server, "it did not answer in time")),
        }
    }
}

/// Converts a connection error into a failure. A server that refuses the connection because of
/// its connection limit is reported as overloaded.
fn connect_failure(server: &Server, error: &PgWireClientError) -> Failure {
    let mut failure = unreachable(server, &error.to_string());
    if let PgWireClientError::RemoteError(info) = error
        && info.code == sqlstate::OVERLOAD
    {
        failure.kind = FailureKind::Overload;
        failure.code = sqlstate::OVERLOAD.into();
    }
    failure
}

fn unreachable(server: &Server, reason: &str) -> Failure {
    Failure::not_run(
        FailureKind::ConnectionLost,
        sqlstate::CONNECTION_FAILURE,
        format!("server {} cannot be reached: {reason}", server.name),
    )
}

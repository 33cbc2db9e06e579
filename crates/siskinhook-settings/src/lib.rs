//! Node settings in JSON with comments, with errors that report line and column.

mod check;
mod document;
mod error;
mod load;
mod millis;
mod node;
mod secret;
mod sections;

pub use document::{Document, Segment, path_text};
pub use error::{Problem, SettingsError};
pub use load::{load, parse};
pub use node::NodeSettings;
pub use secrecy::{ExposeSecret, SecretString};
pub use secret::{SecretError, SecretSource};
pub use sections::{
    Addresses, CatalogueSettings, Credential, Drain, Failover, Fleet, LogFormat, LogSettings,
    OperatorAccount, PlatformSettings, Requests,
};

//! Password verification of callers.

use async_trait::async_trait;
use indexmap::IndexMap;
use pgwire::{
    api::auth::{
        AuthSource, LoginInfo, Password,
        sasl::scram::{SCRAM_ITERATIONS, gen_salted_password},
    },
    error::{PgWireError, PgWireResult},
};
use rand::Rng;
use siskinhook_types::CallerId;

const SALT_BYTES: usize = 16;

/// Salted passwords of the callers for SCRAM-SHA-256 authentication.
#[derive(Default)]
pub struct Users {
    secrets: IndexMap<CallerId, Secret>,
}

struct Secret {
    salt: Vec<u8>,
    salted_password: Vec<u8>,
}

impl Users {
    /// Adds a user. The password is salted here and not at each login, because salting takes
    /// milliseconds.
    pub fn add(&mut self, name: CallerId, password: &str) {
        let mut salt = vec![0; SALT_BYTES];
        rand::rng().fill(salt.as_mut_slice());
        let salted_password = gen_salted_password(password, &salt, SCRAM_ITERATIONS);
        self.secrets.insert(
            name,
            Secret {
                salt,
                salted_password,
            },
        );
    }
}

impl std::fmt::Debug for Users {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_list().entries(self.secrets.keys()).finish()
    }
}

#[async_trait]
impl AuthSource for Users {
    async fn get_password(&self, login: &LoginInfo) -> PgWireResult<Password> {
        let user = login.user().unwrap_or_default();
        let Some(secret) = self.secrets.get(user) else {
            return Err(PgWireError::InvalidPassword(user.to_owned()));
        };
        Ok(Password::new(
            Some(secret.salt.clone()),
            secret.salted_password.clone(),
        ))
    }
}

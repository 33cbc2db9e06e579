//! Authentication of operators.

use indexmap::IndexMap;
use siskinhook_settings::{ExposeSecret, OperatorAccount, SecretError, SecretString};
use siskinhook_types::{PartnerId, value_type};
use smol_str::SmolStr;
use subtle::ConstantTimeEq;

value_type! {
    /// An authenticated operator.
    pub struct Identity {
        /// Name of the operator.
        pub name: SmolStr,
        /// Partner whose entries the operator may edit.
        pub partner: PartnerId,
    }
}

/// The operator accounts of a node with their tokens.
#[derive(Clone, Debug, Default)]
pub struct Operators {
    accounts: IndexMap<SmolStr, Account>,
}

#[derive(Clone, Debug)]
struct Account {
    partner: PartnerId,
    token: SecretString,
}

impl Operators {
    /// Reads the tokens of the operators in the settings.
    ///
    /// # Errors
    /// Fails when a token cannot be read.
    pub fn read(settings: &IndexMap<SmolStr, OperatorAccount>) -> Result<Self, SecretError> {
        let accounts = settings
            .iter()
            .map(|(name, account)| {
                let account = Account {
                    partner: account.partner.clone(),
                    token: account.token.read()?,
                };
                Ok((name.clone(), account))
            })
            .collect::<Result<_, SecretError>>()?;
        Ok(Self { accounts })
    }

    /// Authenticates the value of an `Authorization` header, `Bearer NAME:TOKEN`. Tokens are
    /// compared in constant time, so the time taken depends only on the length of the token.
    #[must_use]
    pub fn authenticate(&self, header: &str) -> Option<Identity> {
        let (name, token) = header.strip_prefix("Bearer ")?.split_once(':')?;
        let account = self.accounts.get(name);
        // An unknown name is compared as well, so that the time does not reveal which names exist.
        let expected = account.map_or("unknown operator", |a| a.token.expose_secret());
        let equal = bool::from(expected.as_bytes().ct_eq(token.as_bytes()));
        let account = account.filter(|_| equal)?;
        Some(Identity {
            name: name.into(),
            partner: account.partner.clone(),
        })
    }
}

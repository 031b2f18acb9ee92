//! The accounts of one configuration, found by the keys that they hold.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use base::{AccountName, Tokens};
use thiserror::Error;

use crate::KeyDigest;

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Each request counts as one.
    Requests,
    /// Each request counts as its tokens.
    Tokens {
        /// Tokens that count for a request that doesn't say how many it has.
        unknown: Tokens,
    },
}

/// How much an account may use, over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units that are added to the account's allowance each second.
    pub rate: f64,
    /// The most units that the allowance can hold.
    pub burst: f64,
    /// What is counted.
    pub unit: Unit,
}

impl Limit {
    /// Returns the units of work a second that may be asked; `request` is what a request counts
    /// for where the limit counts requests.
    #[must_use]
    pub fn work_rate(&self, request: f64) -> f64 {
        match self.unit {
            Unit::Requests => self.rate * request,
            Unit::Tokens { .. } => self.rate,
        }
    }

    /// Returns the units that a request counts for; `tokens` are those of its prompt and
    /// its answer, if it says them.
    #[must_use]
    pub fn cost(&self, tokens: Option<Tokens>) -> f64 {
        match self.unit {
            Unit::Requests => 1.0,
            Unit::Tokens { unknown } => tokens.unwrap_or(unknown).get() as f64,
        }
    }
}

/// An account as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct RawAccount {
    /// Its name, which targets are told.
    pub name: String,
    /// The keys that it holds; none if all were taken away.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests, instead of that of their route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// How much it may use; without a limit if absent.
    pub limit: Option<Limit>,
}

/// An account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Its name, which targets are told.
    pub name: AccountName,
    /// Priority of its requests, instead of that of their route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// How much it may use; without a limit if absent.
    pub limit: Option<Limit>,
}

/// Why accounts are invalid. No variant contains a key.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadAccounts {
    /// The name can't be sent in a header.
    #[error("`{0}` is no name of an account: it has to be of visible ASCII characters")]
    BadName(String),
    /// Two accounts have one name.
    #[error("two accounts have the name `{0}`")]
    DuplicateName(AccountName),
    /// Two accounts hold one key.
    #[error("the accounts `{0}` and `{1}` share a key")]
    SharedKey(AccountName, AccountName),
    /// A number of a limit is negative or not finite.
    #[error("the limit of the account `{0}` is no positive number")]
    BadLimit(AccountName),
}

/// All accounts, by the keys that they hold.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    keys: BTreeMap<KeyDigest, Arc<Account>>,
    names: BTreeSet<AccountName>,
}

impl TryFrom<Vec<RawAccount>> for Directory {
    type Error = BadAccounts;

    fn try_from(raw: Vec<RawAccount>) -> Result<Self, BadAccounts> {
        let mut directory = Directory::default();
        for raw in raw {
            let keys = raw.keys.clone();
            let account = Arc::new(Account::try_from(raw)?);
            let name = &account.name;
            if !directory.names.insert(name.clone()) {
                return Err(BadAccounts::DuplicateName(name.clone()));
            }
            for key in keys {
                let other = directory.keys.insert(key, Arc::clone(&account));
                if let Some(other) = other.filter(|other| other.name != *name) {
                    return Err(BadAccounts::SharedKey(other.name.clone(), name.clone()));
                }
            }
        }
        Ok(directory)
    }
}

impl TryFrom<RawAccount> for Account {
    type Error = BadAccounts;

    fn try_from(raw: RawAccount) -> Result<Self, BadAccounts> {
        let name = AccountName::try_from(raw.name.as_str());
        let name = name.map_err(|_| BadAccounts::BadName(raw.name))?;
        let fits = |n: f64| n.is_finite() && n >= 0.0;
        if raw
            .limit
            .is_some_and(|limit| !fits(limit.rate) || !fits(limit.burst))
        {
            return Err(BadAccounts::BadLimit(name));
        }
        Ok(Account {
            name,
            priority: raw.priority,
            limit: raw.limit,
        })
    }
}

impl Directory {
    /// Returns the mean of the units of work a second that accounts with limits may ask, or
    /// `None` if no account has one; `request` as in [`Limit::work_rate`].
    #[must_use]
    pub fn mean_rate(&self, request: f64) -> Option<f64> {
        let accounts: BTreeMap<_, _> = self.keys.values().map(|own| (&own.name, own)).collect();
        let limits = accounts.values().filter_map(|account| account.limit);
        let rates: Vec<f64> = limits.map(|limit| limit.work_rate(request)).collect();
        (!rates.is_empty()).then(|| rates.iter().sum::<f64>() / rates.len() as f64)
    }

    /// Returns the account that holds a key.
    #[must_use]
    pub fn holder(&self, key: &[u8]) -> Option<&Arc<Account>> {
        self.keys.get(&KeyDigest::of(key))
    }

    /// Returns the account of this name, if it holds any key.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&Arc<Account>> {
        let mut accounts = self.keys.values();
        accounts.find(|account| account.name.as_str() == name)
    }
}

//! Use of client accounts, exchanged so that a limit holds over all entry instances.

use base::{AccountName, record};

record! {
    /// Entry to control: what accounts have used at one entry instance.
    #[derive(Default)]
    pub struct Usage {
        /// Number of the instance's run; its counts begin anew with it.
        pub epoch: u64,
        /// Accounts that were used lately.
        pub accounts: Vec<AccountUsage>,
    }

    /// What one account has used at one entry instance since it started.
    pub struct AccountUsage {
        /// The account.
        pub account: AccountName,
        /// Units of requests that were admitted, without those given back.
        pub used: u64,
        /// Units of all requests.
        pub asked: u64,
    }

    /// Control to entry: what one account has used at all other entry instances.
    pub struct OthersUsage {
        /// The account.
        pub account: AccountName,
        /// Number of this count; one with another number begins anew.
        pub serial: u64,
        /// Units of requests that were admitted.
        pub used: i64,
        /// Units of all requests.
        pub asked: i64,
        /// Units a second that were admitted lately; absent if the control instance hasn't
        /// counted for long enough.
        pub rate: Option<u64>,
        /// Thousandths of the account's demand that belong to instances which aren't heard
        /// from, and may go on without being counted.
        pub silent: u16,
    }
}

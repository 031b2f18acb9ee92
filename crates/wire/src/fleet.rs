//! What entry and control instances tell each other about targets: who holds
//! which adapter, how much runs where, and what is missing.
//!
//! One exchange serves as heartbeat, report of load and demand, and as the way
//! by which the list of targets and residents reach every entry instance. It is
//! made a few times a second, and at once for an adapter that a caller waits for.
//! Of editions it carries only the number; they come in parts of their own.

mod part;

use std::time::Duration;

use base::{InstanceName, record};

pub use self::part::{PART_SIZE, Part};

record! {
    /// What an entry instance tells a control instance.
    #[derive(Default)]
    pub struct Sync {
        /// Who; absent names none, as in a first message.
        pub instance: Option<InstanceName>,
        /// The edition in force there; 0 for none.
        pub edition: u64,
        /// Which named versions it has from the one asked; see [`Synced::revision`].
        pub revision: u64,
        /// Which news of targets it has; see [`Synced::news`].
        pub news: u64,
        /// Targets of which it has dropped what it was told, by id; they are told again.
        pub again: Vec<String>,
        /// Whether this only asks for adapters: load is neither told nor wanted.
        pub brief: bool,
        /// Requests under way there.
        pub running: Vec<Running>,
        /// Prompt tokens sent from there that targets haven't read yet, by target.
        pub unread: Vec<(String, u64)>,
        /// Requests for each adapter since the last exchange that was answered.
        pub demand: Vec<(String, u32)>,
        /// Adapters that callers wait for.
        pub wants: Vec<String>,
        /// Adapters whose holders are all behind with reading prompts: one more
        /// copy would serve sooner.
        pub copies: Vec<String>,
        /// Targets that couldn't be reached lately, by id.
        pub failing: Vec<String>,
        /// Adapters on their way to targets of other control instances, where
        /// all of these are heard.
        pub elsewhere: Option<u32>,
        /// What came of the first requests that were sent for adapters just
        /// loaded, since the last exchange.
        pub firsts: Vec<First>,
        /// How long targets took to begin their answers, since the last exchange.
        pub paces: Vec<Pace>,
    }

    /// How long a target took for what it had to read, over some requests.
    pub struct Pace {
        /// The target.
        pub target: String,
        /// Prompt tokens that it had before it.
        pub tokens: u64,
        /// Time until it answered.
        pub took: Duration,
    }

    /// The first request from one instance after an adapter was loaded.
    pub struct First {
        /// The target.
        pub target: String,
        /// The adapter.
        pub adapter: String,
        /// Whether the target had the adapter when it was said to.
        pub held: bool,
    }

    /// Requests of one instance under way at one target.
    pub struct Running {
        /// The target.
        pub target: String,
        /// Which adapter they use; empty for none.
        pub adapter: String,
        /// How many.
        pub count: u32,
    }

    /// What a control instance answers.
    #[derive(Default)]
    pub struct Synced {
        /// Number of the newest edition; 0 for none.
        pub edition: u64,
        /// Versions of adapters that were named since [`Sync::revision`], or the
        /// oldest of them.
        pub versions: Vec<(String, u32)>,
        /// Counts the named versions that the asker has now, in the life of the one
        /// that answers.
        pub revision: u64,
        /// Counts the changes of [`Synced::targets`].
        pub news: u64,
        /// Zones whose engines this instance gives orders to.
        pub zones: Vec<String>,
        /// Targets of those zones that have changed since [`Sync::news`]; nothing where
        /// none has.
        pub targets: Option<Vec<Target>>,
        /// Whether [`Self::targets`] are all of those zones, whatever the asker has.
        pub whole: bool,
        /// Targets that are gone since [`Sync::news`], by id.
        pub gone: Vec<String>,
        /// Requests under way at each target over all other instances; none in the answer to
        /// a brief question.
        pub running: Vec<(String, u32)>,
        /// Prompt tokens at each target that it hasn't read yet, over all other
        /// instances.
        pub unread: Vec<(String, u64)>,
        /// Of the adapters asked for, those not on their way yet, and the time
        /// until they can be used.
        pub waits: Vec<(String, Duration)>,
        /// Entry instances that the answering one hears.
        pub entries: u32,
        /// Control instances by the log.
        pub controls: Vec<InstanceName>,
    }

    /// A configuration under the number that its operator gave it.
    #[derive(Default)]
    pub struct Edition {
        /// Its number; the highest one is in force.
        pub number: u64,
        /// Its text as the operator sent it.
        pub body: String,
    }

    /// One target as the leader knows it.
    pub struct Target {
        /// Its id, new at each start but for one that starts again in place.
        pub id: String,
        /// The service that it belongs to.
        pub service: String,
        /// IP and port.
        pub addr: String,
        /// Its availability zone.
        pub zone: String,
        /// Requests it works on at once.
        pub slots: u32,
        /// Whether it takes new requests.
        pub ready: bool,
        /// How long it takes for what others do in a hundred units of time; zero where
        /// nobody knows.
        pub slowness: u32,
        /// Versions of the weights of its base models, as far as it has said.
        pub weights: Vec<Weights>,
        /// What it holds, or will hold soon.
        pub residents: Vec<Resident>,
    }

    /// The weights of a base model at a target. A load takes the newest there are, so
    /// targets that started at different times may hold different ones.
    #[derive(PartialOrd, Ord)]
    pub struct Weights {
        /// The base model.
        pub model: String,
        /// Their version.
        pub version: u32,
    }

    /// An adapter at a target.
    pub struct Resident {
        /// Its name; that of the base model for the model itself.
        pub adapter: String,
        /// Its version; 0 where it isn't known.
        pub version: u32,
        /// Time until it can be used; zero when it can.
        pub ready_in: Duration,
    }
}

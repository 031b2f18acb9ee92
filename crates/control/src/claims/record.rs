//! What is remembered of a key in full.

use base::{BrandName, InstanceName, record};
use wire::call::{Answer, Claim, ClaimReply, Settle};

record! {
    /// An idempotency key of a brand.
    #[derive(PartialOrd, Ord)]
    pub(crate) struct Key {
        /// The brand.
        pub(crate) brand: BrandName,
        /// Hash of the idempotency key that the caller sent.
        #[serde(with = "sixteen")]
        pub(crate) hash: [u8; 16],
    }

    /// What is known of a key.
    pub(crate) struct KeyRecord {
        /// Hash of method, path and body of the request.
        #[serde(with = "sixteen")]
        body: [u8; 16],
        /// The entry instance that claimed the key.
        pub(crate) instance: InstanceName,
        /// Distinguishes the attempts of that instance.
        pub(crate) attempt: u64,
        /// The key's date in milliseconds since 1970, unless it has none or one too far
        /// in the future.
        pub(crate) dated: Option<u64>,
        pub(crate) phase: Phase,
        /// When it was last settled, on the state clock.
        pub(crate) settled: Option<u64>,
        /// When it was claimed, on the state clock.
        pub(crate) since: u64,
    }

    /// The progress of a marked request.
    pub(crate) enum Phase {
        /// The claiming instance may send it, or has sent it.
        Running,
        /// It ran.
        Ran(Option<Answer>),
        /// Unknown outcome: it may have run.
        MayHaveRun,
    }
}

impl Key {
    pub(crate) fn of(claim: &Claim) -> Self {
        Key {
            brand: claim.brand.clone(),
            hash: claim.key,
        }
    }

    pub(crate) fn of_settle(settle: &Settle) -> Self {
        Key {
            brand: settle.brand.clone(),
            hash: settle.key,
        }
    }
}

impl KeyRecord {
    pub(crate) fn running(claim: &Claim, dated: Option<u64>, at: u64) -> Self {
        KeyRecord {
            body: claim.body,
            instance: claim.instance.clone(),
            attempt: claim.attempt,
            dated,
            phase: Phase::Running,
            settled: None,
            since: at,
        }
    }

    /// Returns the reply to another claim of the same key.
    pub(crate) fn reply(&self, claim: &Claim) -> ClaimReply {
        if self.body != claim.body {
            base::hit!(key_with_other_body);
            return ClaimReply::OtherBody;
        }
        match &self.phase {
            Phase::Ran(answer) => ClaimReply::Ran(answer.clone()),
            Phase::MayHaveRun => ClaimReply::MayHaveRun,
            // The reply to the first claim was lost and the instance retries. It has not
            // sent the request, as it does so only after a reply.
            Phase::Running if self.same_attempt(claim) => ClaimReply::Granted,
            Phase::Running => {
                base::hit!(claimed_by_other);
                ClaimReply::Running
            }
        }
    }

    fn same_attempt(&self, claim: &Claim) -> bool {
        self.instance == claim.instance && self.attempt == claim.attempt
    }
}

/// Encodes 16 bytes as one byte string; serde's default is an array of numbers.
mod sixteen {
    use serde::{Deserializer, Serializer, de};

    pub(super) fn serialize<S: Serializer>(raw: &[u8; 16], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(raw)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<[u8; 16], D::Error> {
        struct Sixteen;
        impl de::Visitor<'_> for Sixteen {
            type Value = [u8; 16];

            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("16 bytes")
            }

            fn visit_bytes<E: de::Error>(self, raw: &[u8]) -> Result<[u8; 16], E> {
                raw.try_into()
                    .map_err(|_| E::invalid_length(raw.len(), &self))
            }
        }
        from.deserialize_bytes(Sixteen)
    }
}

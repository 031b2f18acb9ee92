//! The encoding of the state in a snapshot.

use std::borrow::Cow;

use owner::Table;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::State;
use crate::{Claims, Editions, Quarantine, SoftwareHistory, Texts, ZoneGrants};

/// Number of the format written here. Snapshots in any other format are refused, as their
/// fields might be misread.
const FORMAT: u32 = 2;

/// Why a snapshot could not be decoded.
#[derive(Debug, Error)]
pub enum BadState {
    /// The bytes are not a valid state.
    #[error("malformed state: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
    /// The snapshot was written by a release with another format.
    #[error("the state has format {0}, this release reads format {FORMAT}")]
    Format(u32),
}

/// [`State`] as encoded in a snapshot.
#[derive(Serialize, Deserialize)]
pub(super) struct Saved<'a> {
    format: u32,
    at: u64,
    texts: Cow<'a, Texts>,
    editions: Cow<'a, Editions>,
    zones: Cow<'a, ZoneGrants>,
    table: Cow<'a, Table>,
    claims: Cow<'a, Claims>,
    /// Missing in snapshots of earlier builds.
    #[serde(default)]
    quarantine: Cow<'a, Quarantine>,
    /// Missing in snapshots of earlier builds; left out where it is empty, so that these
    /// can read the others.
    #[serde(default, skip_serializing_if = "is_empty")]
    software: Cow<'a, SoftwareHistory>,
}

fn is_empty(software: &SoftwareHistory) -> bool {
    software.is_empty()
}

impl<'a> From<&'a State> for Saved<'a> {
    fn from(state: &'a State) -> Self {
        Saved {
            format: FORMAT,
            at: state.at,
            texts: Cow::Borrowed(&state.texts),
            editions: Cow::Borrowed(&state.editions),
            zones: Cow::Borrowed(&state.zones),
            table: Cow::Borrowed(&state.table),
            claims: Cow::Borrowed(&state.claims),
            quarantine: Cow::Borrowed(&state.quarantine),
            software: Cow::Borrowed(&state.software),
        }
    }
}

impl TryFrom<Saved<'_>> for State {
    type Error = BadState;

    fn try_from(saved: Saved<'_>) -> Result<Self, BadState> {
        if saved.format != FORMAT {
            return Err(BadState::Format(saved.format));
        }
        let mut texts = saved.texts.into_owned();
        texts.rebuild_index();
        Ok(State {
            at: saved.at,
            texts,
            editions: saved.editions.into_owned(),
            zones: saved.zones.into_owned(),
            table: saved.table.into_owned(),
            claims: saved.claims.into_owned(),
            quarantine: saved.quarantine.into_owned(),
            software: saved.software.into_owned(),
        })
    }
}

//! The state as it is written into a snapshot.

use std::borrow::Cow;

use owner::Table;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::State;
use crate::{Claims, Editions, Texts, ZoneOwners};

/// The format written here; others are refused, not guessed at.
const FORMAT: u32 = 2;

/// Says why bytes are no state.
#[derive(Debug, Error)]
pub enum BadState {
    /// They can't be decoded.
    #[error("malformed state: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
    /// They were written by another release.
    #[error("the state has format {0}, this release reads format {FORMAT}")]
    Format(u32),
}

/// The wire type of [`State`].
#[derive(Serialize, Deserialize)]
pub(super) struct Saved<'a> {
    format: u32,
    at: u64,
    texts: Cow<'a, Texts>,
    editions: Cow<'a, Editions>,
    zones: Cow<'a, ZoneOwners>,
    table: Cow<'a, Table>,
    claims: Cow<'a, Claims>,
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
        texts.index();
        Ok(State {
            at: saved.at,
            texts,
            editions: saved.editions.into_owned(),
            zones: saved.zones.into_owned(),
            table: saved.table.into_owned(),
            claims: saved.claims.into_owned(),
        })
    }
}

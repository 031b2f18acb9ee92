//! The parsed text before the check: values with their positions, and names that are
//! not yet resolved.

use base::{AdapterName, BaseName, BrandName, Class, Mark, PoolName, ServiceName, Version};

use crate::model::{Limits, PoolKind, Store};

/// A value and its byte offset in the text.
#[derive(Clone, Debug)]
pub(crate) struct Located<T> {
    pub(crate) value: T,
    pub(crate) at: usize,
}

/// The parsed text. A value that could not be read is `None`; its error has been
/// reported.
#[derive(Debug, Default)]
pub(crate) struct Raw {
    pub(crate) limits: Limits,
    pub(crate) store: Store,
    pub(crate) pools: Vec<RawPool>,
    pub(crate) brands: Vec<RawBrand>,
}

#[derive(Debug)]
pub(crate) struct RawPool {
    pub(crate) name: PoolName,
    pub(crate) kind: Option<PoolKind>,
}

#[derive(Debug)]
pub(crate) struct RawBrand {
    pub(crate) name: Located<BrandName>,
    pub(crate) weight: u32,
    pub(crate) keys: Option<Vec<Located<[u8; 32]>>>,
    pub(crate) base: Option<Located<BaseName>>,
    pub(crate) weights: Option<Located<String>>,
    pub(crate) adapters: Vec<RawAdapter>,
    pub(crate) services: Vec<RawService>,
    pub(crate) each: Option<RawEachAdapter>,
}

#[derive(Debug)]
pub(crate) struct RawAdapter {
    pub(crate) name: Located<AdapterName>,
    pub(crate) base: Option<Located<BaseName>>,
    pub(crate) weights: Option<Located<String>>,
    pub(crate) serve: Option<Located<Version>>,
    pub(crate) versions: Option<Vec<Located<Version>>>,
}

#[derive(Debug)]
pub(crate) struct RawService {
    pub(crate) name: Located<ServiceName>,
    pub(crate) kind: Option<RawKind>,
    pub(crate) pool: Option<Located<PoolName>>,
    pub(crate) class: Option<Class>,
    pub(crate) mark: Option<Mark>,
    pub(crate) needs: Vec<Located<ServiceName>>,
}

#[derive(Debug)]
pub(crate) enum RawKind {
    Assistant(Option<Located<AdapterName>>),
    Plain,
}

/// The `each-adapter` table, which declares a service for every adapter of a brand under
/// the adapter's name.
#[derive(Debug)]
pub(crate) struct RawEachAdapter {
    pub(crate) pool: Option<Located<PoolName>>,
    pub(crate) class: Option<Class>,
    pub(crate) needs: Vec<Located<ServiceName>>,
}

//! The text as written: values that remember where they stand, names not yet
//! looked up.

use base::{AdapterName, BaseName, BrandName, Class, Mark, PoolName, ServiceName, Version};

use crate::model::{Limits, PoolKind, Store};

/// A value and the byte of the text where it stands.
#[derive(Clone, Debug)]
pub(crate) struct At<T> {
    pub(crate) value: T,
    pub(crate) at: usize,
}

/// The whole text. What could not be read is `None`; its error is noted.
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
    pub(crate) name: At<BrandName>,
    pub(crate) weight: u32,
    pub(crate) keys: Option<Vec<At<[u8; 32]>>>,
    pub(crate) base: Option<At<BaseName>>,
    pub(crate) weights: Option<At<String>>,
    pub(crate) adapters: Vec<RawAdapter>,
    pub(crate) services: Vec<RawService>,
    pub(crate) each: Option<RawEach>,
}

#[derive(Debug)]
pub(crate) struct RawAdapter {
    pub(crate) name: At<AdapterName>,
    pub(crate) base: Option<At<BaseName>>,
    pub(crate) weights: Option<At<String>>,
    pub(crate) serve: Option<At<Version>>,
    pub(crate) versions: Option<Vec<At<Version>>>,
}

#[derive(Debug)]
pub(crate) struct RawService {
    pub(crate) name: At<ServiceName>,
    pub(crate) kind: Option<RawKind>,
    pub(crate) pool: Option<At<PoolName>>,
    pub(crate) class: Option<Class>,
    pub(crate) mark: Option<Mark>,
    pub(crate) needs: Vec<At<ServiceName>>,
}

#[derive(Debug)]
pub(crate) enum RawKind {
    Assistant(Option<At<AdapterName>>),
    Plain,
}

/// Makes every adapter of a brand a service of its own name.
#[derive(Debug)]
pub(crate) struct RawEach {
    pub(crate) pool: Option<At<PoolName>>,
    pub(crate) class: Option<Class>,
    pub(crate) needs: Vec<At<ServiceName>>,
}

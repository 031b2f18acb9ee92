//! Numbers for interned names, which make the decisions on each request cheap.
//!
//! A node (one process with its own routing state) assigns a number to each name and
//! never reuses it for another name, so numbers stay valid across changes of the
//! configuration text. They are valid within that node only; messages between processes
//! contain names.

crate::value! {
    /// Number of an adapter within one node.
    #[derive(Default)]
    pub struct AdapterNo(pub u32);

    /// Number of a brand within one node.
    #[derive(Default)]
    pub struct BrandNo(pub u32);

    /// Number of a target within one node.
    #[derive(Default)]
    pub struct TargetNo(pub u32);

    /// Number of an instance within one node.
    #[derive(Default)]
    pub struct InstanceNo(pub u32);

    /// Number of a request within one node; not reused while the request runs.
    #[derive(Default)]
    pub struct Ticket(pub u64);

    /// One version of an adapter, as engines load it and requests use it.
    pub struct AdapterKey {
        /// The adapter.
        pub adapter: AdapterNo,
        /// Its version.
        pub version: crate::Version,
    }
}

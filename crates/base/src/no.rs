//! Numbers in place of names, for the decisions made on every request.
//!
//! A node interns each name once and never gives the number to another name,
//! so a number may be kept across changes of the text. Numbers have meaning
//! within one node only; names travel.

crate::value! {
    /// An adapter's number within one node.
    #[derive(Default)]
    pub struct AdapterNo(pub u32);

    /// A brand's number within one node.
    #[derive(Default)]
    pub struct BrandNo(pub u32);

    /// A target's number within one node.
    #[derive(Default)]
    pub struct TargetNo(pub u32);

    /// An instance's number within one node.
    #[derive(Default)]
    pub struct InstanceNo(pub u32);

    /// A request's number within one node; never reused while it runs.
    #[derive(Default)]
    pub struct Ticket(pub u64);

    /// One version of one adapter: what an engine loads and a request runs on.
    pub struct AdapterKey {
        /// Which adapter.
        pub adapter: AdapterNo,
        /// Which of its versions.
        pub version: crate::Version,
    }
}

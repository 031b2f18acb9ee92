//! The tarpc service and its framing, shared by client and server.

use base::InstanceName;
use tarpc::serde_transport::Transport;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_serde::formats::MessagePack;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use wire::call::{Call, Reply};

/// Name of the protocol to which a connection is upgraded.
pub const PROTOCOL: &str = "quetzal-call/1";

/// HTTP path of the upgrade request.
pub const PATH: &str = "/quetzal/call";

/// Largest call or reply, in bytes: a configuration text of 48,000 adapters fits with a
/// margin.
pub const MAX_CALL_BYTES: usize = 32 << 20;

#[tarpc::service]
pub(crate) trait Caller {
    /// Makes one call in the name of the instance `from`.
    async fn call(from: InstanceName, call: Call) -> Reply;
}

type Wire<S, Item, SinkItem> = Transport<S, Item, SinkItem, MessagePack<Item, SinkItem>>;

/// Returns a transport that sends `SinkItem` and receives `Item` on a connection.
pub(crate) fn transport<S, Item, SinkItem>(io: S) -> Wire<S, Item, SinkItem>
where
    S: AsyncRead + AsyncWrite,
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_CALL_BYTES)
        .new_codec();
    let framed = Framed::new(io, codec);
    tarpc::serde_transport::new(framed, MessagePack::default())
}

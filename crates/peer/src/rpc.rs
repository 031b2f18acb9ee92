//! The tarpc service and its framing, shared by both ends.

use base::InstanceName;
use hyper::upgrade::Upgraded;
use hyper_util::rt::TokioIo;
use tarpc::serde_transport::Transport;
use tokio_serde::formats::MessagePack;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use wire::call::{Call, Reply};

/// The protocol that a connection is upgraded to.
pub const PROTOCOL: &str = "quetzal-call/1";

/// The path whose requests ask for the upgrade.
pub const PATH: &str = "/quetzal/call";

/// Largest call or reply in bytes: a text of 48,000 adapters and some room.
pub const CALL_MAX: usize = 32 << 20;

#[tarpc::service]
pub(crate) trait Caller {
    /// Makes one call.
    async fn call(from: InstanceName, call: Call) -> Reply;
}

type Wire<Item, SinkItem> =
    Transport<TokioIo<Upgraded>, Item, SinkItem, MessagePack<Item, SinkItem>>;

/// Frames an upgraded connection for one direction's types.
pub(crate) fn transport<Item, SinkItem>(io: Upgraded) -> Wire<Item, SinkItem>
where
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(CALL_MAX)
        .new_codec();
    let framed = Framed::new(TokioIo::new(io), codec);
    tarpc::serde_transport::new(framed, MessagePack::default())
}

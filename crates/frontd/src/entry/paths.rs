//! How an entry instance connects to targets.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use daemon::{Clock, lock};
use gateway::reach::{Reach, Summary};
use telemetry::event;
use web::client::{Cause, Connect, Dialed, Dialer, direct};

use crate::MapAddress;

/// The ways from this instance to targets.
pub(super) struct Paths {
    clock: Clock,
    reach: Mutex<Reach>,
    address: MapAddress,
}

impl Paths {
    pub(super) fn new(clock: Clock, address: MapAddress) -> Arc<Paths> {
        Arc::new(Paths {
            clock,
            reach: Mutex::default(),
            address,
        })
    }

    /// Returns what makes connections to targets.
    pub(super) fn dialer(self: &Arc<Self>) -> Dialer {
        let paths = Arc::clone(self);
        Dialer::new(move |connect| {
            let paths = Arc::clone(&paths);
            async move { paths.dial(connect).await }
        })
    }

    async fn dial(&self, connect: Connect) -> Result<Dialed, Cause> {
        let target = connect.addr;
        match direct((self.address)(target), connect.until).await {
            Ok(stream) => {
                lock(&self.reach).connected();
                Ok(Dialed {
                    stream,
                    reusable: true,
                })
            }
            Err(cause) => {
                self.note_failed(target);
                Err(cause)
            }
        }
    }

    fn note_failed(&self, target: SocketAddr) {
        let summary = lock(&self.reach).failed(self.clock.now(), target);
        if let Some(Summary {
            made,
            failed,
            targets,
            during,
        }) = summary
        {
            event!(
                telemetry::Event::ConnectionsFailed,
                made = made,
                failed = failed,
                targets = targets,
                ms = during.as_millis()
            );
        }
    }
}

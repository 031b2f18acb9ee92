//! Orders to load and unload adapters, with the requests and answers that vLLM has.

use std::{str::FromStr, sync::Arc};

use base::Fence;
use tokio::time::sleep;
use web::{
    HeaderMap, Incoming, Method, Request, Response, StatusCode,
    body::Body,
    client::{Limits, Send},
    reply,
};
use wire::{
    engine::{Load, Resident, Unload},
    header,
};

use super::state::{AdapterUse, Engine, Order};
use crate::server::{self, Refused};

/// Upper limit on an answer of the weight store, in bytes.
const WEIGHTS_MAX: usize = 1 << 20;

pub(crate) async fn load(engine: Arc<Engine>, req: Request<Incoming>) -> Response<Body> {
    let fence = fence_of(req.headers());
    let order: Load = match server::body(req).await {
        Ok(order) => order,
        Err(refused) => return refused.answer(),
    };
    let resp = load_checked(&engine, &order, fence).await;
    engine.record_order("load", order.lora_name, fence, &resp);
    resp
}

async fn load_checked(engine: &Engine, order: &Load, fence: Option<Fence>) -> Response<Body> {
    let resident = match engine.admit_load(order, fence) {
        Ok(resident) => resident,
        Err(refused) => return refused.answer(),
    };
    let ending = engine.state().ending.clone();
    let mut reservation = SlotReservation(engine, true);
    let fetched = fetch(engine, &order.lora_path).await;
    let mut state = engine.state();
    state.loading -= 1;
    reservation.1 = false;
    if ending.is_cancelled() {
        return refused(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the engine restarted during the load",
        );
    }
    if state.faults.fail_loads > 0 {
        state.faults.fail_loads -= 1;
        return refused(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the load failed by an injected fault",
        );
    }
    if !fetched {
        return refused(
            StatusCode::INTERNAL_SERVER_ERROR,
            "fetching the weights from the store failed",
        );
    }
    state.resident.insert(resident, AdapterUse::default());
    let text = format!(
        "Success: LoRA adapter '{}' added successfully.",
        order.lora_name
    );
    reply::plain(StatusCode::OK, text)
}

pub(crate) async fn unload(engine: Arc<Engine>, req: Request<Incoming>) -> Response<Body> {
    let fence = fence_of(req.headers());
    let order: Unload = match server::body(req).await {
        Ok(order) => order,
        Err(refused) => return refused.answer(),
    };
    let resp = engine.unload_checked(&order, fence);
    engine.record_order("unload", order.lora_name, fence, &resp);
    resp
}

/// Releases the slot that a load reserved if the caller disconnects during the load.
struct SlotReservation<'a>(&'a Engine, bool);

impl Drop for SlotReservation<'_> {
    fn drop(&mut self) {
        if self.1 {
            self.0.state().loading -= 1;
        }
    }
}

impl Engine {
    fn admit_load(&self, order: &Load, fence: Option<Fence>) -> Result<Resident, Refused> {
        self.check_fence(fence)?;
        let Ok(resident) = Resident::from_str(&order.lora_name) else {
            return Err(Refused::new(
                StatusCode::BAD_REQUEST,
                "lora_name must have the form adapter@version",
            ));
        };
        let mut state = self.state();
        if state.resident.contains_key(&resident) {
            let why = "the adapter has already been loaded";
            return Err(Refused::new(StatusCode::BAD_REQUEST, why));
        }
        if state.resident.len() + state.loading >= self.config.slots {
            return Err(Refused::new(
                StatusCode::CONFLICT,
                "all adapter slots are taken",
            ));
        }
        state.loading += 1;
        Ok(resident)
    }

    fn unload_checked(&self, order: &Unload, fence: Option<Fence>) -> Response<Body> {
        if let Err(refused) = self.check_fence(fence) {
            return refused.answer();
        }
        let Ok(resident) = Resident::from_str(&order.lora_name) else {
            return refused(
                StatusCode::BAD_REQUEST,
                "lora_name must have the form adapter@version",
            );
        };
        let mut state = self.state();
        let Some(held) = state.resident.remove(&resident) else {
            return refused(StatusCode::NOT_FOUND, "the adapter cannot be found");
        };
        if held.running > 0 {
            state.stats.unloads_in_use += 1;
            held.unloaded.cancel();
        }
        let text = format!(
            "Success: LoRA adapter '{}' removed successfully.",
            order.lora_name
        );
        reply::plain(StatusCode::OK, text)
    }

    fn check_fence(&self, fence: Option<Fence>) -> Result<(), Refused> {
        if !self.config.check_fence {
            return Ok(());
        }
        let mut state = self.state();
        if fence < state.fence {
            let why = "the fencing number is outdated";
            return Err(Refused::new(StatusCode::PRECONDITION_FAILED, why));
        }
        state.fence = fence;
        Ok(())
    }

    fn record_order(
        &self,
        kind: &str,
        adapter: String,
        fence: Option<Fence>,
        resp: &Response<Body>,
    ) {
        self.state().stats.orders.push(Order {
            kind: kind.to_owned(),
            adapter,
            fence: fence.map(Fence::get),
            status: resp.status().as_u16(),
        });
    }
}

fn fence_of(headers: &HeaderMap) -> Option<Fence> {
    headers.get(header::FENCE)?.to_str().ok()?.parse().ok()
}

fn refused(status: StatusCode, why: &str) -> Response<Body> {
    server::refuse(status, why)
}

async fn fetch(engine: &Engine, path: &str) -> bool {
    let Some(store) = engine.config.store else {
        sleep(engine.config.load_time).await;
        return true;
    };
    let mut send = Send::new(store, Method::GET, format!("/weights/{path}"));
    send.limits = Limits {
        reuse: std::time::Duration::ZERO,
        first: std::time::Duration::from_secs(120),
        ..Limits::default()
    };
    match engine.client.send(send).await {
        Ok(answer) if answer.status.is_success() => answer.read_all(WEIGHTS_MAX).await.is_ok(),
        _ => false,
    }
}

//! Starts and stops logs, metrics and traces together.

use std::time::Duration;

use anyhow::{Context as _, Result};
use flexi_logger::LoggerHandle;
use opentelemetry::{KeyValue, global, trace::TracerProvider};
use opentelemetry_sdk::{
    Resource,
    metrics::{PeriodicReader, SdkMeterProvider},
    trace::{Sampler, SdkTracerProvider},
};
use tokio::runtime::{Builder, Runtime};
use tracing_subscriber::{Layer, filter, layer::SubscriberExt};

use crate::{TelemetrySettings, export, logs, trace};

/// Time between two exports of metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(10);
/// Longest time that the process waits at its end for the last spans and metrics.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(3);

/// Keeps logs, metrics and traces running; flushes them when dropped.
pub struct Guard {
    logger: LoggerHandle,
    tracer: SdkTracerProvider,
    meter: SdkMeterProvider,
    runtime: Option<Runtime>,
}

/// Starts logs, metrics and traces of the process `service` on `instance`.
///
/// # Errors
///
/// Fails when the log file can't be opened, or when called a second time in
/// one process.
pub fn start(service: &str, instance: &str, settings: &TelemetrySettings) -> Result<Guard> {
    let logger = logs::start(service, instance, settings).context("can't start the log")?;
    logs::log_panics();
    let runtime = settings.otlp.map(|_| export_runtime()).transpose()?;
    let resource = resource(service, instance, settings);
    let tracer = tracer(settings, runtime.as_ref(), resource.clone())?;
    let meter = meter(settings, runtime.as_ref(), resource)?;
    let own_spans = filter::filter_fn(|meta| meta.is_span() && meta.target() == trace::TARGET);
    let layer = tracing_opentelemetry::layer().with_tracer(tracer.tracer(trace::TARGET));
    let subscriber = tracing_subscriber::registry().with(layer.with_filter(own_spans));
    tracing::subscriber::set_global_default(subscriber)
        .context("telemetry has already been started")?;
    global::set_tracer_provider(tracer.clone());
    global::set_meter_provider(meter.clone());
    Ok(Guard {
        logger,
        tracer,
        meter,
        runtime,
    })
}

impl Drop for Guard {
    fn drop(&mut self) {
        // `drop` can't return an error, so a failed flush is only logged.
        if let Err(err) = self.tracer.shutdown_with_timeout(FLUSH_TIMEOUT) {
            log::warn!("can't export the last spans: {err}");
        }
        if let Err(err) = self.meter.shutdown_with_timeout(FLUSH_TIMEOUT) {
            log::warn!("can't export the last metrics: {err}");
        }
        self.logger.flush();
        if let Some(runtime) = self.runtime.take() {
            // Dropping a runtime inside the daemon's own async runtime would panic.
            runtime.shutdown_background();
        }
    }
}

fn export_runtime() -> Result<Runtime> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name("export")
        .enable_all()
        .build()?;
    Ok(runtime)
}

fn resource(service: &str, instance: &str, settings: &TelemetrySettings) -> Resource {
    Resource::builder()
        .with_service_name(service.to_owned())
        .with_attribute(KeyValue::new("service.instance.id", instance.to_owned()))
        .with_attribute(KeyValue::new(
            "cloud.availability_zone",
            settings.zone.to_string(),
        ))
        .build()
}

/// Builds the tracer. Without a collector no span is recorded, but ids are still
/// generated and propagated, so that the spans of other hops stay connected.
fn tracer(
    settings: &TelemetrySettings,
    runtime: Option<&Runtime>,
    resource: Resource,
) -> Result<SdkTracerProvider> {
    let builder = SdkTracerProvider::builder().with_resource(resource);
    let (Some(collector), Some(runtime)) = (settings.otlp, runtime) else {
        let never = Sampler::ParentBased(Box::new(Sampler::AlwaysOff));
        return Ok(builder.with_sampler(never).build());
    };
    let share = 1.0 / settings.trace_one_in as f64;
    let sampler = Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(share)));
    let exporter = export::spans(collector, runtime.handle())?;
    Ok(builder
        .with_sampler(sampler)
        .with_batch_exporter(exporter)
        .build())
}

fn meter(
    settings: &TelemetrySettings,
    runtime: Option<&Runtime>,
    resource: Resource,
) -> Result<SdkMeterProvider> {
    let builder = SdkMeterProvider::builder().with_resource(resource);
    let (Some(collector), Some(runtime)) = (settings.otlp, runtime) else {
        return Ok(builder.build());
    };
    let exporter = export::metrics(collector, runtime.handle())?;
    let reader = PeriodicReader::builder(exporter)
        .with_interval(METRICS_INTERVAL)
        .build();
    Ok(builder.with_reader(reader).build())
}

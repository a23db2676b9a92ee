//! Makes instruments and serves them as text.

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, TextEncoder};

/// What the names of all metrics begin with.
const NAMESPACE: &str = "barleypin";

/// Makes instruments whose help stands in a catalogue, and serves them in
/// Prometheus' text.
pub struct Instruments {
    registry: prometheus::Registry,
    // Instruments fall silent when their provider is gone.
    _provider: SdkMeterProvider,
    meter: Meter,
    catalogue: &'static [(&'static str, &'static str)],
    bounds: &'static [f64],
}

impl Instruments {
    /// Instruments under the name `scope`, with the help that `catalogue` has
    /// for each full name, and with these bounds of histograms.
    #[must_use]
    pub fn new(
        scope: &'static str,
        catalogue: &'static [(&'static str, &'static str)],
        bounds: &'static [f64],
    ) -> Self {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .with_namespace(NAMESPACE)
            .build()
            .expect("a new registry holds no metric of the same name");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Self {
            registry,
            meter: provider.meter(scope),
            _provider: provider,
            catalogue,
            bounds,
        }
    }

    /// The text for monitoring.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        // The text is built in memory; a family that can't be written is left out.
        drop(TextEncoder::new().encode(&self.registry.gather(), &mut text));
        String::from_utf8(text).unwrap_or_default()
    }

    /// A counter.
    #[must_use]
    pub fn counter(&self, name: &'static str) -> Counter<u64> {
        let builder = self.meter.u64_counter(name);
        builder.with_description(self.help(name)).build()
    }

    /// A gauge of whole numbers.
    #[must_use]
    pub fn whole(&self, name: &'static str) -> Gauge<u64> {
        let builder = self.meter.u64_gauge(name);
        builder.with_description(self.help(name)).build()
    }

    /// A gauge of any numbers.
    #[must_use]
    pub fn real(&self, name: &'static str) -> Gauge<f64> {
        let builder = self.meter.f64_gauge(name);
        builder.with_description(self.help(name)).build()
    }

    /// A histogram.
    #[must_use]
    pub fn histogram(&self, name: &'static str) -> Histogram<f64> {
        self.meter
            .f64_histogram(name)
            .with_boundaries(self.bounds.to_vec())
            .with_description(self.help(name))
            .build()
    }

    fn help(&self, name: &str) -> &'static str {
        let is_it = |full: &str| {
            let name_of = full.strip_prefix(NAMESPACE).unwrap_or(full);
            let name_of = name_of.strip_prefix('_').unwrap_or(name_of);
            name_of.strip_suffix("_total").unwrap_or(name_of) == name
        };
        self.catalogue
            .iter()
            .find(|(full, _)| is_it(full))
            .map_or("", |(_, help)| help)
    }
}

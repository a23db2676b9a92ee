//! Creates instruments and exports them as text.

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, TextEncoder};

/// The prefix of all metric names.
const NAMESPACE: &str = "barleypin";

/// Creates instruments with help texts from a catalogue, and exports them in the Prometheus
/// text format.
pub struct Instruments {
    registry: prometheus::Registry,
    // Instruments stop recording when their provider is dropped.
    _provider: SdkMeterProvider,
    meter: Meter,
    catalogue: &'static [(&'static str, &'static str)],
    bounds: &'static [f64],
}

impl Instruments {
    /// Creates a factory of instruments in `scope`. `catalogue` maps full metric names to help
    /// texts, and `bounds` are the bounds of all histograms.
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

    /// Returns the metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        // Writing to memory can't fail. The text ends before the first invalid metric family.
        drop(TextEncoder::new().encode(&self.registry.gather(), &mut text));
        String::from_utf8(text).unwrap_or_default()
    }

    /// Creates a counter.
    ///
    /// The names of all instruments are given without the prefix `barleypin_` and the suffix
    /// `_total`. A name that isn't in the catalogue gets an empty help text.
    #[must_use]
    pub fn counter(&self, name: &'static str) -> Counter<u64> {
        let builder = self.meter.u64_counter(name);
        builder.with_description(self.help(name)).build()
    }

    /// Creates an integer gauge.
    #[must_use]
    pub fn int_gauge(&self, name: &'static str) -> Gauge<u64> {
        let builder = self.meter.u64_gauge(name);
        builder.with_description(self.help(name)).build()
    }

    /// Creates a floating-point gauge.
    #[must_use]
    pub fn float_gauge(&self, name: &'static str) -> Gauge<f64> {
        let builder = self.meter.f64_gauge(name);
        builder.with_description(self.help(name)).build()
    }

    /// Creates a histogram.
    #[must_use]
    pub fn histogram(&self, name: &'static str) -> Histogram<f64> {
        self.meter
            .f64_histogram(name)
            .with_boundaries(self.bounds.to_vec())
            .with_description(self.help(name))
            .build()
    }

    fn help(&self, name: &str) -> &'static str {
        let matches_name = |full: &str| {
            let short_name = full.strip_prefix(NAMESPACE).unwrap_or(full);
            let short_name = short_name.strip_prefix('_').unwrap_or(short_name);
            short_name.strip_suffix("_total").unwrap_or(short_name) == name
        };
        self.catalogue
            .iter()
            .find(|(full, _)| matches_name(full))
            .map_or("", |(_, help)| help)
    }
}

use serde::Serialize;

use super::Figures;
use crate::{Scenario, Workload, router::RouterKind};

/// The results of one scenario of one workload under every router.
#[derive(Clone, Debug, Serialize)]
pub struct Case {
    /// The workload.
    pub workload: Workload,
    /// The scenario's name.
    pub scenario: String,
    /// The scenario's description.
    pub about: String,
    /// The figures by router, the core's first.
    pub figures: Vec<Figures>,
}

impl Case {
    pub(crate) fn new(workload: Workload, scenario: &Scenario, figures: Vec<Figures>) -> Self {
        Self {
            workload,
            scenario: scenario.name.clone(),
            about: scenario.about.clone(),
            figures,
        }
    }

    /// Returns the figures of one router.
    #[must_use]
    pub fn figures_for(&self, router: RouterKind) -> Option<&Figures> {
        self.figures.iter().find(|it| it.router == router)
    }
}

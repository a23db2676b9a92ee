//! Who chooses the model of a request.

/// Who chooses the model of a request on a route with several models.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ModelChoice {
    /// The caller leaves the choice to the route.
    #[default]
    Route,
    /// The caller names a model itself, or doesn't say who chooses.
    Caller,
}

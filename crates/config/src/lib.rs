//! Profiles, versions, customers and settings, checked and revisioned.

//! Clients of the table service, object store, host list and rating service.

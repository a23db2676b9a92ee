use std::time::Duration;

use kernel::Money;

use super::{Call, Class, Customer, Pool, Priority, Range, World};
use crate::ground_truth::{Accuracy, ConfidenceDistribution, VersionIdx, VersionSpec};

pub(super) fn world() -> World {
    World {
        customers: customers(),
        classes: classes(),
        versions: versions(),
        pools: pools(),
        service: "ticketing",
        hosts: 6,
        data_centres: 4,
    }
}

fn customers() -> Vec<Customer> {
    [
        ("bookings", 30),
        ("visitors", 24),
        ("gallery-north", 12),
        ("gallery-south", 9),
        ("schools", 7),
        ("agencies", 6),
        ("guides", 5),
        ("museum", 4),
        ("boats", 2),
        ("press", 1),
    ]
    .map(|(name, weight)| Customer::new(name, weight))
    .to_vec()
}

fn classes() -> Vec<Class> {
    vec![
        Class {
            name: "itinerary",
            call: Call::Model {
                target: 0.90,
                hard: 0.30,
                prompt: Range::new(1_000, 3_000),
                completion: Range::new(400, 900),
                turns: Range::new(1, 1),
            },
            priority: Priority::Interactive,
            idempotent: true,
            rate: 0.6,
            deadline: Duration::from_mins(2),
        },
        Class {
            name: "question",
            call: Call::Model {
                target: 0.90,
                hard: 0.12,
                prompt: Range::new(150, 400),
                completion: Range::new(40, 120),
                turns: Range::new(1, 1),
            },
            priority: Priority::Interactive,
            idempotent: true,
            rate: 3.0,
            deadline: Duration::from_secs(20),
        },
        Class {
            name: "chat_es",
            call: Call::Model {
                target: 0.88,
                hard: 0.15,
                prompt: Range::new(200, 800),
                completion: Range::new(60, 200),
                turns: Range::new(2, 5),
            },
            priority: Priority::Interactive,
            idempotent: true,
            rate: 0.6,
            deadline: Duration::from_secs(30),
        },
        Class {
            name: "chat_en",
            call: Call::Model {
                target: 0.88,
                hard: 0.15,
                prompt: Range::new(200, 800),
                completion: Range::new(60, 200),
                turns: Range::new(2, 5),
            },
            priority: Priority::Interactive,
            idempotent: true,
            rate: 0.4,
            deadline: Duration::from_secs(30),
        },
        Class {
            name: "summary",
            call: Call::Model {
                target: 0.85,
                hard: 0.25,
                prompt: Range::new(2_000, 6_000),
                completion: Range::new(150, 300),
                turns: Range::new(1, 1),
            },
            priority: Priority::Batch,
            idempotent: true,
            rate: 0.5,
            deadline: Duration::from_hours(1),
        },
        Class {
            name: "gate_scan",
            call: Call::Plain {
                millis: Range::new(5, 15),
            },
            priority: Priority::Urgent,
            idempotent: true,
            rate: 8.0,
            deadline: Duration::from_secs(2),
        },
        Class {
            name: "seat_hold",
            call: Call::Plain {
                millis: Range::new(10, 30),
            },
            priority: Priority::Urgent,
            idempotent: false,
            rate: 2.0,
            deadline: Duration::from_secs(3),
        },
    ]
}

/// The versions, in the order of their indices. Accuracies are in the order of the classes.
fn versions() -> Vec<VersionSpec> {
    vec![
        VersionSpec {
            prompt_price: Money(10_000_000),
            completion_price: Money(40_000_000),
            prefill: Duration::from_millis(20),
            token: Duration::from_millis(8),
            confidence: ConfidenceDistribution { sharpness: 2.5 },
            accuracies: vec![
                Accuracy::new(0.7, 0.25),
                Accuracy::new(0.96, 0.6),
                Accuracy::new(0.9, 0.45),
                Accuracy::new(0.95, 0.6),
                Accuracy::new(0.85, 0.45),
            ],
        },
        VersionSpec {
            prompt_price: Money(60_000_000),
            completion_price: Money(240_000_000),
            prefill: Duration::from_millis(50),
            token: Duration::from_millis(16),
            confidence: ConfidenceDistribution { sharpness: 2.5 },
            accuracies: vec![
                Accuracy::new(0.95, 0.65),
                Accuracy::new(0.985, 0.85),
                Accuracy::new(0.965, 0.8),
                Accuracy::new(0.975, 0.8),
                Accuracy::new(0.96, 0.8),
            ],
        },
        VersionSpec {
            prompt_price: Money(55_000_000),
            completion_price: Money(220_000_000),
            prefill: Duration::from_millis(50),
            token: Duration::from_millis(15),
            confidence: ConfidenceDistribution { sharpness: 2.5 },
            accuracies: vec![
                Accuracy::new(0.95, 0.7),
                Accuracy::new(0.985, 0.87),
                Accuracy::new(0.97, 0.82),
                Accuracy::new(0.975, 0.82),
                Accuracy::new(0.96, 0.82),
            ],
        },
        VersionSpec {
            prompt_price: Money(300_000_000),
            completion_price: Money(1_500_000_000),
            prefill: Duration::from_millis(120),
            token: Duration::from_millis(28),
            confidence: ConfidenceDistribution { sharpness: 2.5 },
            accuracies: vec![
                Accuracy::new(0.98, 0.9),
                Accuracy::new(0.99, 0.94),
                Accuracy::new(0.985, 0.92),
                Accuracy::new(0.985, 0.92),
                Accuracy::new(0.98, 0.92),
            ],
        },
    ]
}

fn pools() -> Vec<Pool> {
    vec![
        Pool {
            name: "small",
            replicas: 5,
            slots: 4,
            max_waiting: 8,
            versions: vec![VersionIdx::SMALL],
        },
        Pool {
            name: "medium",
            replicas: 8,
            slots: 3,
            max_waiting: 6,
            versions: vec![VersionIdx::MEDIUM, VersionIdx::MEDIUM_NEXT],
        },
        Pool {
            name: "large",
            replicas: 7,
            slots: 6,
            max_waiting: 8,
            versions: vec![VersionIdx::LARGE],
        },
        Pool {
            name: "ticketing",
            replicas: 4,
            slots: 4,
            max_waiting: 64,
            versions: Vec::new(),
        },
    ]
}

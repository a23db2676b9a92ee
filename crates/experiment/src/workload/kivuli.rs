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
        service: "bench",
        hosts: 6,
        data_centres: 4,
    }
}

fn customers() -> Vec<Customer> {
    [
        ("archive", 30),
        ("restoration", 22),
        ("catalogue", 14),
        ("studio-a", 8),
        ("studio-b", 7),
        ("studio-c", 6),
        ("labs", 5),
        ("loans", 4),
        ("press", 2),
        ("training", 2),
    ]
    .map(|(name, weight)| Customer::new(name, weight))
    .to_vec()
}

fn classes() -> Vec<Class> {
    vec![
        Class {
            name: "era_tag",
            call: Call::Model {
                target: 0.92,
                hard: 0.15,
                prompt: Range::new(80, 200),
                completion: Range::new(4, 12),
                turns: Range::new(1, 1),
            },
            priority: Priority::Interactive,
            idempotent: true,
            rate: 6.0,
            deadline: Duration::from_secs(10),
        },
        Class {
            name: "catalogue",
            call: Call::Model {
                target: 0.90,
                hard: 0.30,
                prompt: Range::new(300, 800),
                completion: Range::new(150, 400),
                turns: Range::new(1, 1),
            },
            priority: Priority::Interactive,
            idempotent: false,
            rate: 1.5,
            deadline: Duration::from_mins(1),
        },
        Class {
            name: "dossier",
            call: Call::Model {
                target: 0.90,
                hard: 0.35,
                prompt: Range::new(6_000, 20_000),
                completion: Range::new(600, 1_200),
                turns: Range::new(1, 1),
            },
            priority: Priority::Batch,
            idempotent: true,
            rate: 0.25,
            deadline: Duration::from_mins(10),
        },
        Class {
            name: "dossier_talk",
            call: Call::Model {
                target: 0.90,
                hard: 0.30,
                prompt: Range::new(4_000, 12_000),
                completion: Range::new(200, 600),
                turns: Range::new(2, 5),
            },
            priority: Priority::Interactive,
            idempotent: true,
            rate: 0.08,
            deadline: Duration::from_mins(10),
        },
        Class {
            name: "thumbnail",
            call: Call::Plain {
                millis: Range::new(10, 40),
            },
            priority: Priority::Interactive,
            idempotent: true,
            rate: 8.0,
            deadline: Duration::from_secs(5),
        },
        Class {
            name: "job_ticket",
            call: Call::Plain {
                millis: Range::new(20, 60),
            },
            priority: Priority::Interactive,
            idempotent: false,
            rate: 1.0,
            deadline: Duration::from_secs(5),
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
                Accuracy::new(0.97, 0.55),
                Accuracy::new(0.85, 0.30),
                Accuracy::new(0.45, 0.10),
                Accuracy::new(0.50, 0.15),
            ],
        },
        VersionSpec {
            prompt_price: Money(60_000_000),
            completion_price: Money(240_000_000),
            prefill: Duration::from_millis(50),
            token: Duration::from_millis(16),
            confidence: ConfidenceDistribution { sharpness: 2.5 },
            accuracies: vec![
                Accuracy::new(0.985, 0.80),
                Accuracy::new(0.96, 0.70),
                Accuracy::new(0.92, 0.55),
                Accuracy::new(0.93, 0.60),
            ],
        },
        VersionSpec {
            prompt_price: Money(55_000_000),
            completion_price: Money(220_000_000),
            prefill: Duration::from_millis(50),
            token: Duration::from_millis(15),
            confidence: ConfidenceDistribution { sharpness: 2.5 },
            accuracies: vec![
                Accuracy::new(0.985, 0.82),
                Accuracy::new(0.96, 0.74),
                Accuracy::new(0.93, 0.60),
                Accuracy::new(0.94, 0.65),
            ],
        },
        VersionSpec {
            prompt_price: Money(300_000_000),
            completion_price: Money(1_500_000_000),
            prefill: Duration::from_millis(120),
            token: Duration::from_millis(28),
            confidence: ConfidenceDistribution { sharpness: 2.5 },
            accuracies: vec![
                Accuracy::new(0.99, 0.92),
                Accuracy::new(0.985, 0.90),
                Accuracy::new(0.97, 0.90),
                Accuracy::new(0.97, 0.90),
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
            slots: 4,
            max_waiting: 8,
            versions: vec![VersionIdx::LARGE],
        },
        Pool {
            name: "bench",
            replicas: 4,
            slots: 4,
            max_waiting: 64,
            versions: Vec::new(),
        },
    ]
}

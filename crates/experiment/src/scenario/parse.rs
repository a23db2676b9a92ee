use std::time::Duration;

use super::{Event, FailureMode, Fault, Scenario};
use crate::{Error, ground_truth::VersionIdx};

const SUBJECTS: &str = "`version V bad P% [confident|errors]`, `version V drift P%`, \
    `version V withdrawn`, `rollout V replaces W`, `pool capacity P%`, `ratings late T`, \
    `ratings out`, `load stale T`, `customer N demand xF`, `models demand xF`, `host N lost`, \
    `host N replaced`";

/// Parses the lines before the first `----`, or all if there is none. Skips blank lines, comments
/// and lines `scenario`.
pub(super) fn scenario(name: &str, text: &str) -> Result<Scenario, Error> {
    let mut scenario = Scenario {
        name: name.to_owned(),
        about: String::new(),
        duration: Duration::ZERO,
        events: Vec::new(),
    };
    for (idx, line) in text.lines().enumerate() {
        let line = line.trim();
        if line == "----" {
            break;
        }
        if line.is_empty() || line.starts_with('#') || line == "scenario" {
            continue;
        }
        read_line(&mut scenario, line).map_err(|detail| Error::Scenario {
            name: name.to_owned(),
            line: idx + 1,
            detail,
        })?;
    }
    limit_events_to_duration(&mut scenario);
    Ok(scenario)
}

fn read_line(scenario: &mut Scenario, line: &str) -> Result<(), String> {
    let (keyword, rest) = line.split_once(' ').unwrap_or((line, ""));
    match keyword {
        "about" => rest.clone_into(&mut scenario.about),
        "duration" => scenario.duration = duration(rest)?,
        "at" => scenario.events.push(event(rest)?),
        other => {
            return Err(format!("{other:?} is not one of `about`, `duration`, `at`"));
        }
    }
    Ok(())
}

fn event(rest: &str) -> Result<Event, String> {
    let words = rest.split_whitespace().collect::<Vec<_>>();
    let (at, until, subject) = match words.as_slice() {
        [at, "for", length, subject @ ..] => {
            let at = duration(at)?;
            (at, at + duration(length)?, subject)
        }
        [at, subject @ ..] => (duration(at)?, Duration::MAX, subject),
        [] => return Err("a time is missing: `at 10m [for 5m] …`".to_owned()),
    };
    let fault = fault(subject)?;
    Ok(Event { at, until, fault })
}

fn fault(words: &[&str]) -> Result<Fault, String> {
    let fault = match words {
        ["version", name, "bad", share] => bad(name, share, FailureMode::Plain)?,
        ["version", name, "bad", share, "confident"] => bad(name, share, FailureMode::Confident)?,
        ["version", name, "bad", share, "errors"] => bad(name, share, FailureMode::Error)?,
        ["version", name, "drift", loss] => Fault::Drift {
            version: version(name)?,
            loss: percent(loss)?,
        },
        ["version", name, "withdrawn"] => Fault::Withdrawn {
            version: version(name)?,
        },
        ["rollout", name, "replaces", old] => Fault::Rollout {
            version: version(name)?,
            replaces: version(old)?,
        },
        ["pool", "capacity", share] => Fault::Capacity {
            share: percent(share)?,
        },
        ["ratings", "late", by] => Fault::RatingsLate { by: duration(by)? },
        ["ratings", "out"] => Fault::RatingsOut,
        ["load", "stale", by] => Fault::LoadStale { by: duration(by)? },
        ["customer", number, "demand", factor] => Fault::Flood {
            customer: index(number)?,
            times: times(factor)?,
        },
        ["models", "demand", factor] => Fault::Surge {
            times: times(factor)?,
        },
        ["host", number, "lost"] => Fault::HostLost {
            host: index(number)?,
        },
        ["host", number, "replaced"] => Fault::HostReplaced {
            host: index(number)?,
        },
        other => {
            return Err(format!("{:?} is not one of {SUBJECTS}", other.join(" ")));
        }
    };
    Ok(fault)
}

fn bad(name: &str, share: &str, failure_mode: FailureMode) -> Result<Fault, String> {
    Ok(Fault::Bad {
        version: version(name)?,
        share: percent(share)?,
        failure_mode,
    })
}

fn version(name: &str) -> Result<VersionIdx, String> {
    VersionIdx::named(name).ok_or_else(|| {
        let known = VersionIdx::ALL.map(VersionIdx::name).join(", ");
        format!("no version is called {name:?}; known: {known}")
    })
}

fn duration(text: &str) -> Result<Duration, String> {
    let unit = text.trim_start_matches(|it: char| it.is_ascii_digit());
    let number = text[..text.len() - unit.len()].parse::<u64>();
    let scale = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => 0,
    };
    match number {
        Ok(number) if scale > 0 => Ok(Duration::from_millis(number * scale)),
        _ => Err(format!(
            "{text:?} is not a time: a whole number and `ms`, `s`, `m` or `h`"
        )),
    }
}

fn percent(text: &str) -> Result<f64, String> {
    let number = text.strip_suffix('%').and_then(|it| it.parse::<f64>().ok());
    match number {
        Some(number) if (0.0..=100.0).contains(&number) => Ok(number / 100.0),
        _ => Err(format!("{text:?} is not a share: `0%` to `100%`")),
    }
}

fn times(text: &str) -> Result<f64, String> {
    let number = text.strip_prefix('x').and_then(|it| it.parse::<f64>().ok());
    match number {
        Some(number) if number > 0.0 => Ok(number),
        _ => Err(format!(
            "{text:?} is not a factor: `x` and a number above 0"
        )),
    }
}

fn index(text: &str) -> Result<usize, String> {
    text.parse()
        .map_err(|_| format!("{text:?} is not a whole number (0 or more)"))
}

/// Limits the end of each event to the end of the scenario.
fn limit_events_to_duration(scenario: &mut Scenario) {
    for it in &mut scenario.events {
        it.until = it.until.min(scenario.duration);
    }
}

//! Tests of the detection that a process stood still.

use std::time::Duration;

use host::Stall;

fn millis(it: u64) -> Duration {
    Duration::from_millis(it)
}

/// Returns the state of a process that ran until `began` and again from `ended` on.
fn stalled(began: u64, ended: u64) -> Stall {
    let mut stall = Stall::new(Duration::ZERO);
    for it in (0..=began).step_by(100) {
        stall.tick(millis(it));
    }
    stall.tick(millis(ended));
    stall
}

#[test]
fn a_running_process_reads_messages_at_once() {
    assert_eq!(
        stalled(1_000, 1_400).possible_delay(millis(1_450)),
        Duration::ZERO
    );
}

/// Guards against messages that are read before the process has noticed its stall.
#[test]
fn messages_read_first_after_a_stall_may_have_waited() {
    let stall = stalled(1_000, 1_100);
    assert_eq!(stall.possible_delay(millis(4_000)), millis(2_900));
}

#[test]
fn messages_read_soon_after_a_stall_may_have_waited() {
    let stall = stalled(1_000, 4_000);
    assert_eq!(stall.possible_delay(millis(4_200)), millis(3_200));
    assert_eq!(stall.possible_delay(millis(4_300)), Duration::ZERO);
}

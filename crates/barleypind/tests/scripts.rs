//! Runs scripts of failures against real processes. `docs/scripts.md` describes the language.

use std::path::Path;

use scenario::Stage;

const BARLEYPIND: &str = env!("CARGO_BIN_EXE_barleypind");

fn check(script: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scripts");
    let path = path.join(script).with_extension("txt");
    datadriven::walk(&path.to_string_lossy(), |file| {
        let mut stage = Stage::new(Path::new(BARLEYPIND));
        file.run(|case| stage.run(case));
    });
}

macro_rules! scripts {
    ($($name:ident)*) => {
        $(
            #[test]
            fn $name() {
                check(stringify!($name));
            }
        )*

        /// Guards against a script without a test, which would never run.
        #[test]
        fn every_script_is_named() {
            let named = [$(concat!(stringify!($name), ".txt")),*];
            let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scripts");
            for entry in std::fs::read_dir(dir).expect("the folder of scripts exists") {
                let file = entry.expect("the folder can be read").file_name();
                let file = file.to_string_lossy();
                assert!(named.contains(&&*file), "{file} is not listed in scripts.rs");
            }
        }
    };
}

scripts! {
    address_reused
    bad_input
    billed_once_batch_answer_lost
    billed_once_host_killed
    change_answer_lost
    change_id_reused
    change_in_slow_store
    change_in_store_outage
    claim_answer_lost
    cut_from_everything
    cut_from_store
    dead_host_not_handed_out
    drain_cuts_nothing
    drain_longest_request
    frozen_through_change
    hold_asked_everywhere_at_once
    hold_executed_answer_lost
    hold_killed_in_flight
    holds_in_store_outage
    leaving_endpoint
    leaving_endpoint_news
    no_peer_in_store_outage
    not_run_is_true
    operators_at_the_same_moment
    orders_holder_frozen
    orders_holder_frozen_between
    orders_holder_frozen_unchecked
    refused_by_endpoint_runs_elsewhere
    repeat_refused_at_the_door
    repeated_elsewhere_billed_once
    rolling_restart
    rollout_taken_over
    session_over_withdrawal
    stale_host_refuses
    store_outage_goes_on
    strangers
    stream_cut
    stream_doubled_and_swapped
    two_operators
}

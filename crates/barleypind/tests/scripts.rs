//! Runs scripts of failures against real processes. `docs/scripts.md` describes the language.

use std::path::Path;

use scenario::ScriptRunner;

const BARLEYPIND: &str = env!("CARGO_BIN_EXE_barleypind");

fn check(script: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scripts");
    let path = path.join(script).with_extension("txt");
    datadriven::walk(&path.to_string_lossy(), |file| {
        let mut runner = ScriptRunner::new(Path::new(BARLEYPIND));
        file.run(|case| runner.run(case));
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
    billed_once_batch_response_lost
    billed_once_host_killed
    change_id_reused
    change_in_slow_store
    change_in_store_outage
    change_response_lost
    claim_response_lost
    concurrent_operators
    dead_host_not_handed_out
    drain_completes_calls
    drain_longest_request
    hold_executed_response_lost
    hold_killed_in_flight
    hold_sent_to_all_hosts_at_once
    holds_in_store_outage
    host_cut_off_from_store
    host_frozen_during_change
    host_isolated
    leaving_endpoint
    leaving_endpoint_announced
    no_peer_in_store_outage
    not_run_is_true
    orders_holder_frozen
    orders_holder_frozen_between_orders
    orders_holder_frozen_unchecked
    refused_by_endpoint_runs_elsewhere
    retried_elsewhere_billed_once
    retry_refused_before_admission
    rolling_restart
    rollout_taken_over
    served_in_store_outage
    session_moved_on_withdrawal
    stale_host_refuses
    stream_chunks_duplicated_or_swapped
    stream_cut
    two_operators
    unauthenticated_peers
}

//! Runs session files: requests of callers and operators to daemons, with stand-ins for the
//! platform and the endpoints.
//!
//! A file under `tests/sessions` starts with `site`, whose input is the stand-ins' settings,
//! followed by calls. Text that varies between runs, such as request ids, tokens, ports and
//! times, is masked.

mod call;
mod clock;
mod mask;
mod site;

use async_std::task::block_on;
use datadriven::{TestCase, walk};
use site::Site;

fn check(session: &str) {
    walk(&format!("tests/sessions/{session}"), |file| {
        let mut site: Option<Site> = None;
        file.run(|case| {
            if case.directive == "site" {
                site = Some(block_on(Site::start(case)));
                return "ready\n".to_owned();
            }
            let site = site.as_mut().expect("a file starts with `site`");
            block_on(run(site, case))
        });
        if let Some(site) = site {
            block_on(site.stop());
        }
    });
}

macro_rules! sessions {
    ($($name:ident)*) => {
        $(
            #[test]
            fn $name() {
                check(stringify!($name));
            }
        )*

        /// Guards against a session without a test, which would never run.
        #[test]
        fn every_session_is_named() {
            let named = [$(stringify!($name)),*];
            for entry in std::fs::read_dir("tests/sessions").unwrap() {
                let file = entry.unwrap().file_name().into_string().unwrap();
                assert!(named.contains(&&*file), "{file} is not listed");
            }
        }
    };
}

sessions! {
    cascade
    catalogue
    chat
    forwarded
    hold
    operators
    orders
    rate
    refusals
    retry
    withdrawal
}

async fn run(site: &mut Site, case: &TestCase) -> String {
    match case.directive.as_str() {
        "call" => call::caller_call(site, case).await,
        "operate" => call::operator_call(site, case).await,
        "stand-in" => call::stand_in(site, case).await,
        "advance" => site.advance(case).await,
        "until" => call::until(site, case).await,
        "executions" => call::executions(site, case).await,
        "drain" => site.drain(case).await,
        "wait" => site.wait(case).await,
        other => panic!("no such directive: {other}"),
    }
}

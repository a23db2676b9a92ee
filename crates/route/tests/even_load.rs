//! Tests of how evenly a fleet of hosts loads endpoints while load reports are old.

#[path = "even_load/endpoint.rs"]
mod endpoint;
#[path = "even_load/exchange.rs"]
mod exchange;
#[path = "even_load/fleet.rs"]
mod fleet;
#[path = "even_load/hosts.rs"]
mod hosts;
#[path = "even_load/kind.rs"]
mod kind;
#[path = "even_load/prompt.rs"]
mod prompt;
#[path = "even_load/request.rs"]
mod request;
#[path = "even_load/scenario.rs"]
mod scenario;
#[path = "even_load/tally.rs"]
mod tally;

use route::LoadPolicy;

use fleet::Fleet;
use scenario::Scenario;
use tally::Tally;

#[test]
fn table() {
    println!("{}", Tally::HEADER);
    for load in [0.5, 0.8, 0.95, 1.1] {
        for policy in [LoadPolicy::Standard, LoadPolicy::Contended] {
            let t = std::time::Instant::now();
            let tally = Fleet::run(Scenario {
                load,
                ..Scenario::new(policy)
            });
            println!("{tally} {:?}", t.elapsed());
        }
    }
}

//! Tests of how evenly a fleet of hosts loads endpoints while load reports are old.

#[path = "even_load/customer.rs"]
mod customer;
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

use customer::Customer;
use fleet::Fleet;
use scenario::Scenario;
use tally::Tally;

#[test]
fn table() {
    use scenario::Machines;
    println!("{}", Tally::HEADER);
    for customer in [Customer::Voicemail, Customer::Courier] {
        for (load, machines, ms) in [(0.5, Machines::Exclusive, 1000), (0.5, Machines::Exclusive, 100),(0.5, Machines::Shared, 1000),(0.8, Machines::Exclusive,1000),(0.8, Machines::Shared,1000)] {
            let tally = Fleet::run(Scenario {
                load, machines, report_age: std::time::Duration::from_millis(ms),
                ..Scenario::new(LoadPolicy::Standard, customer)
            });
            println!("{tally}");
        }
    }
}

//! Keys that the fleet's CA makes.

use std::net::SocketAddr;

use async_std::task::block_on;
use link::keys::Authority;
use link::{Error, Link, Peer, Settings};
use wire::Frame;

fn check(name: &str, expected: Option<Error>) {
    let authority = Authority::generate("test").unwrap();
    let issued = authority.issue(&name.into());
    let error = issued.err().map(|it| *it.current_context());
    assert_eq!(error, expected, "{name}");
}

#[test]
fn a_host_needs_a_name_that_a_certificate_can_prove() {
    check("entry-1", None);
    check("entry_1.dar-1", None);
    check("10.0.0.1", Some(Error::HostName));
    check("::1", Some(Error::HostName));
    check("", Some(Error::HostName));
    check("entry 1", Some(Error::HostName));
}

#[test]
fn keys_never_show_in_a_log() {
    let authority = Authority::generate("test").unwrap();
    let keys = authority.issue(&"a".into()).unwrap();
    assert_eq!(
        format!("{authority:?} {keys:?}"),
        "Authority { .. } Keys { .. }"
    );
}

#[test]
fn broken_keys_are_refused_at_the_start() {
    let authority = Authority::generate("test").unwrap();
    let mut keys = authority.issue(&"a".into()).unwrap();
    keys.key = "no key".to_owned();
    let settings = Settings::new("127.0.0.1:0".parse().unwrap(), keys);
    let error = Link::bind(&settings).err().unwrap();
    assert_eq!(*error.current_context(), Error::Keys);
}

#[test]
fn hosts_of_two_authorities_speak_while_one_replaces_the_other() {
    // Operators replace the CA host by host, and hosts with old and new
    // certificates must know each other all the while.
    block_on(async {
        let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let (old, new) = (
            Authority::generate("old").unwrap(),
            Authority::generate("new").unwrap(),
        );
        let bind = |authority: &Authority, name: &str| {
            let mut keys = authority.issue(&name.into()).unwrap();
            keys.ca = format!("{}{}", old.certificate, new.certificate);
            Link::bind(&Settings::new(address, keys)).unwrap()
        };
        let (a, _a_inbox) = bind(&old, "a");
        let (b, b_inbox) = bind(&new, "b");
        let peer = Peer {
            host: "b".into(),
            address: b.address().unwrap(),
        };
        a.send(&peer, &Frame::Done);
        assert_eq!(b_inbox.recv().await.unwrap().host().as_str(), "a");
    });
}

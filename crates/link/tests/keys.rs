//! Generating a CA and issuing host certificates.

use std::net::SocketAddr;

use async_std::task::block_on;
use link::keys::Authority;
use link::{Error, Link, Peer, Settings};
use wire::Frame;

fn check_issue(name: &str, expected: Option<Error>) {
    let authority = Authority::generate("test").unwrap();
    let issued = authority.issue(&name.into());
    let error = issued.err().map(|it| *it.current_context());
    assert_eq!(error, expected, "{name}");
}

#[test]
fn certificates_are_issued_for_dns_names_only() {
    check_issue("entry-1", None);
    check_issue("entry_1.dar-1", None);
    check_issue("10.0.0.1", Some(Error::HostName));
    check_issue("::1", Some(Error::HostName));
    check_issue("", Some(Error::HostName));
    check_issue("entry 1", Some(Error::HostName));
}

#[test]
fn debug_output_contains_no_keys() {
    let authority = Authority::generate("test").unwrap();
    let keys = authority.issue(&"a".into()).unwrap();
    assert_eq!(
        format!("{authority:?} {keys:?}"),
        "Authority { .. } Keys { .. }"
    );
}

#[test]
fn bind_fails_with_an_invalid_private_key() {
    let authority = Authority::generate("test").unwrap();
    let mut keys = authority.issue(&"a".into()).unwrap();
    keys.key = "no key".to_owned();
    let settings = Settings::new("127.0.0.1:0".parse().unwrap(), keys);
    let error = Link::bind(&settings).err().unwrap();
    assert_eq!(*error.current_context(), Error::Keys);
}

#[test]
fn hosts_with_certificates_of_two_trusted_cas_connect() {
    // While operators replace the CA host by host, hosts with old and new certificates
    // must accept each other.
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

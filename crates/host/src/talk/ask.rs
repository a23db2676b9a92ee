//! Questions to other hosts.

use std::rc::Rc;
use std::time::Duration;

use forward::Dialect;
use link::{Link, Peer};
use wire::Frame;

use super::learn;
use crate::Store;
use crate::life::Life;
use crate::message::{Message, Question};

/// How long an answer of another host may take.
const ANSWER: Duration = Duration::from_millis(400);
/// The same for an answer with a whole listing: hundreds of kilobytes, over links of ten
/// megabits that callers use too. Given up sooner, it is asked for again and again, and
/// never comes whole.
const LONG_ANSWER: Duration = Duration::from_secs(2);

/// Asks another host for what it has newer, one question of a kind at a time.
pub(super) fn ask_once<S: Store, D: Dialect>(
    life: &Rc<Life<S, D>>,
    link: &Link,
    peer: &Peer,
    question: Question,
) {
    let kind = std::mem::discriminant(&question);
    if !life.asking.borrow_mut().insert(kind) {
        return;
    }
    let (node, life, link) = (Rc::clone(&life.node), Rc::clone(life), link.clone());
    let peer = peer.clone();
    node.spawn(async move {
        if let Some(answer) = ask(&life, &link, &peer, question).await {
            learn::answer(&life, &link, &peer, answer);
        }
        life.asking.borrow_mut().remove(&kind);
    });
}

/// Asks another host; nothing if it doesn't answer.
pub(super) async fn ask<S: Store, D: Dialect>(
    life: &Life<S, D>,
    link: &Link,
    peer: &Peer,
    question: Question,
) -> Option<Message> {
    let limit = match question {
        Question::Listing | Question::ListingPatch(_) => LONG_ANSWER,
        _ => ANSWER,
    };
    let frame = life.frame(&Message::Ask(question))?;
    let Ok(Frame::Decide(payload)) = link.ask(peer, &frame, limit).await else {
        return None;
    };
    postcard::from_bytes(&payload.bytes).ok()
}

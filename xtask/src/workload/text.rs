//! The prompts of the workload.

use std::fmt::Write;

use crate::workload::{Item, Kind};

/// Number of lines in the inspection log of a reel.
const LOG_LINES: u32 = 200;

/// Returns the message of a turn. It contains the name of the call, which the stand-in of
/// the engine copies into its response.
#[must_use]
pub fn prompt(item: &Item, turn: usize) -> String {
    let text = match item.kind {
        Kind::EraTag => format!("Era of clip {}? One word.", item.number),
        Kind::CatalogueEntry => {
            format!("Draft the catalogue entry of reel {}.", item.number)
        }
        Kind::Dossier if turn == 0 => dossier(item.number),
        Kind::Dossier => "And if the drying room stays at 60 % humidity?".to_owned(),
        Kind::VisitorChat => visitor(item.number, turn).to_owned(),
        Kind::GuideNotes => format!("Summarise: gallery {} was damp.", item.number % 9),
        _ => String::new(),
    };
    format!("{text} [[call={}]]", item.call(turn))
}

fn dossier(reel: u32) -> String {
    let mut text = format!("Inspection log of reel {reel}; write a treatment plan.\n");
    for frame in 0..LOG_LINES {
        let shrinkage = (reel + frame) % 17;
        writeln!(
            text,
            "frame {frame:05}: shrinkage 0.{shrinkage:02} %, vinegar {}, perforation torn {}",
            frame % 4,
            frame % 3
        )
        .expect("writing to a string does not fail");
    }
    text
}

fn visitor(number: u32, turn: usize) -> &'static str {
    match (number % 2, turn) {
        (0, 0) => "¿A qué hora baja el último grupo a la galería?",
        (0, _) => "¿Y pueden bajar niños de cinco años?",
        (_, 0) => "Is the salt lake open on Sundays?",
        (_, _) => "Do we need warm clothes down there?",
    }
}

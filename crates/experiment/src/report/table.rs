use std::fmt::Write;

use comfy_table::{CellAlignment, Table, presets};

use super::{Aim, Case, Figures, Report};
use crate::router::RouterKind;

pub(super) fn report(report: &Report) -> String {
    let mut text = String::new();
    for case in &report.cases {
        text += &case_section(case);
    }
    if !report.aims.is_empty() {
        text += "\naims\n";
        text += &aims(&report.aims);
    }
    let _ = writeln!(text, "\nseeds {:?}{}", report.seeds, quick(report));
    text += "vs oracle: cost over that of the plan which knows each version's distributions, \
        on the requests that both answered; vs bound: over the lower bound which knows each coin.\n";
    text
}

fn quick(report: &Report) -> &'static str {
    if report.quick {
        ", quick: for tests only"
    } else {
        ""
    }
}

fn case_section(case: &Case) -> String {
    let mut text = format!("\n{} / {}: {}\n", case.workload, case.scenario, case.about);
    text += &routers(case);
    if let Some(core) = case.figures_for(RouterKind::Core) {
        text += &classes(case, core);
        text += &core_summary(core);
    }
    text
}

fn routers(case: &Case) -> String {
    let mut table = table([
        "router",
        "requests",
        "answered",
        "mean cost",
        "vs oracle",
        "vs bound",
        "good",
        "harmed",
        "pinned",
        "touched",
        "quarantines",
        "wrong",
        "tries",
        "dispatches",
        "moved",
        "slots in use",
        "refusals",
    ]);
    for it in &case.figures {
        let refusals = it.refusals.iter();
        let refusals = refusals.map(|(reason, count)| format!("{reason} {count}"));
        table.add_row([
            it.router.to_string(),
            it.requests.to_string(),
            it.delivered.to_string(),
            format!("{:.0}", it.mean_cost),
            format!("{:.3}", it.cost_to_oracle),
            format!("{:.2}", it.cost_to_clairvoyant),
            format!("{:.4}", it.good),
            format!("{:.1}", it.harmed),
            format!("{:.1}", it.harmed_pinned),
            format!("{:.1}", it.affected),
            it.quarantine.right.to_string(),
            it.quarantine.wrong.to_string(),
            format!("{:.3}", it.attempts_per_step),
            format!("{:.3}", it.dispatches),
            it.moved_sessions.to_string(),
            utilization(&it.pool_utilization),
            refusals.collect::<Vec<_>>().join(", "),
        ]);
    }
    finish(&table)
}

fn utilization(pools: &[f64]) -> String {
    let each = pools.iter().map(|it| format!("{it:.2}"));
    each.collect::<Vec<_>>().join(" ")
}

fn classes(case: &Case, core: &Figures) -> String {
    let mut table = table([
        "class",
        "router",
        "target",
        "good",
        "mean cost",
        "vs oracle",
        "asked",
        "p50 ms",
        "p99 ms",
        "first p50",
        "first p99",
        "answered",
    ]);
    for (idx, class) in core.classes.iter().enumerate() {
        for router in &case.figures {
            let it = &router.classes[idx];
            table.add_row([
                class.class.clone(),
                router.router.to_string(),
                format!("{:.2}", it.target),
                format!("{:.4}", it.good),
                format!("{:.0}", it.mean_cost),
                format!("{:.3}", it.cost_to_oracle),
                format!("{:.2}", it.versions_tried),
                format!("{:.1}", it.latency.p50),
                format!("{:.1}", it.latency.p99),
                format!("{:.1}", it.first_token.p50),
                format!("{:.1}", it.first_token.p99),
                format!("{} of {}", it.delivered, it.offered),
            ]);
        }
    }
    finish(&table)
}

fn core_summary(core: &Figures) -> String {
    let each = core
        .customers
        .iter()
        .map(|it| format!("{} {:.3} of {}", it.customer, it.share, it.offered));
    let mut text = format!(
        "core, share answered: {}\n",
        each.collect::<Vec<_>>().join(", ")
    );
    let quarters = core.cost_to_oracle_by_quarter;
    let quarters = quarters.map(|it| format!("{it:.3}")).join(", ");
    let _ = writeln!(text, "core, cost vs oracle by quarter: {quarters}");
    for (what, count) in [
        ("requests that ran twice but may not", core.reruns),
        (
            "requests sent to a withdrawn version",
            core.sent_to_withdrawn,
        ),
        ("requests without an end", core.unfinished),
    ] {
        if count > 0 {
            let _ = writeln!(text, "core, BROKEN: {what}: {count}");
        }
    }
    if core.quarantine.wrong > 0 {
        let causes = &core.quarantine.wrong_causes;
        let _ = writeln!(
            text,
            "core, wrong verdicts by version and cause: {causes:?}"
        );
    }
    if !core.quarantine.first_after_s.is_empty() {
        let _ = writeln!(
            text,
            "core, seconds to the first right quarantine: {:?}",
            core.quarantine.first_after_s
        );
    }
    text
}

fn aims(aims: &[Aim]) -> String {
    let mut table = table(["workload", "what", "wanted", "measured", ""]);
    for it in aims {
        table.add_row([
            it.workload.to_string(),
            it.what.to_owned(),
            it.wanted.clone(),
            it.measured.clone(),
            if it.met { "met" } else { "short" }.to_owned(),
        ]);
    }
    finish(&table)
}

fn table<const N: usize>(header: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(header);
    for column in table.column_iter_mut().skip(2) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

fn finish(table: &Table) -> String {
    let mut text = table.trim_fmt();
    text.push('\n');
    text
}

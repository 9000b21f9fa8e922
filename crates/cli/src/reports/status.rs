use {
    super::{fetch::fetch, table::Table},
    crate::{entries::EntryList, errors::CliError},
    whinlatch_wire::{
        caller::STATUS_PATH,
        ids::Incarnation,
        peer::{MemberState, TargetHealth},
        report::{PlatformStatus, StatusReport},
    },
};

/// Digits of an incarnation that are shown in a table.
const SHOWN_DIGITS: usize = 8;

/// A daemon with its peers and targets.
pub(crate) async fn show_status(entries: &EntryList, json: bool) -> Result<String, CliError> {
    let (report, written) = fetch::<StatusReport>(entries, STATUS_PATH).await?;
    if json {
        return Ok(format!("{written:#}"));
    }
    Ok([head(&report), peers(&report), targets(&report)].join("\n"))
}

fn head(report: &StatusReport) -> String {
    let mut table = Table::new(&[
        "INSTANCE",
        "DOMAIN",
        "RUN",
        "UP",
        "STATE",
        "IN FLIGHT",
        "RECORDS",
        "PLATFORM",
    ]);
    table.row(&[
        &report.instance,
        &report.failure_domain,
        &short(report.incarnation),
        &format!("{} s", report.uptime_ms / 1_000),
        &if report.leaving { "leaving" } else { "serving" },
        &report.requests_in_flight,
        &format!("to revision {}", report.newest_revision),
        &platform(&report.platform),
    ]);
    table.to_text()
}

fn platform(status: &PlatformStatus) -> String {
    let reach = if status.reachable {
        "reachable"
    } else {
        "not reachable"
    };
    let last = status
        .last_answer_ms
        .map_or("never answered".to_owned(), |age| {
            format!("answered {age} ms ago")
        });
    format!("{reach}, {last}, {} reads", status.reads)
}

fn peers(report: &StatusReport) -> String {
    let mut table = Table::new(&["PEER", "DOMAIN", "RUN", "STATE", "LINK"]);
    for peer in &report.peers {
        table.row(&[
            &peer.instance,
            &peer.failure_domain,
            &short(peer.incarnation),
            &member_state(peer.state),
            &if peer.linked { "open" } else { "-" },
        ]);
    }
    table.to_text()
}

fn targets(report: &StatusReport) -> String {
    let mut table = Table::new(&["TARGET", "RUN", "STATE", "IN FLIGHT", "BACKLOG", "PREFILL"]);
    for target in &report.targets {
        table.row(&[
            &target.target,
            &target.incarnation.map_or("-".to_owned(), short),
            &health(target.health),
            &target.in_flight,
            &format!("{} ms", target.backlog_ms),
            &format!("{:.0} tokens/s", target.prefill_tokens_per_s),
        ]);
    }
    table.to_text()
}

fn short(incarnation: Incarnation) -> String {
    incarnation.to_string().chars().take(SHOWN_DIGITS).collect()
}

fn member_state(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}

fn health(health: TargetHealth) -> &'static str {
    match health {
        TargetHealth::Serving => "serving",
        TargetHealth::Leaving => "leaving",
        TargetHealth::Gone => "gone",
    }
}

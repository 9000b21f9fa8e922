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

/// Leading digits of an incarnation that a table shows.
const INCARNATION_DIGITS: usize = 8;

/// Shows a daemon with its peers and targets.
pub(crate) async fn show_status(entries: &EntryList, json: bool) -> Result<String, CliError> {
    let (report, raw) = fetch::<StatusReport>(entries, STATUS_PATH).await?;
    if json {
        return Ok(format!("{raw:#}"));
    }
    Ok([
        instance_table(&report),
        peer_table(&report),
        target_table(&report),
    ]
    .join("\n"))
}

fn instance_table(report: &StatusReport) -> String {
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
    table.push_row(&[
        &report.instance,
        &report.failure_domain,
        &short_incarnation(report.incarnation),
        &format!("{} s", report.uptime_ms / 1_000),
        &if report.leaving { "leaving" } else { "serving" },
        &report.requests_in_flight,
        &format!("to revision {}", report.newest_revision),
        &platform_text(&report.platform),
    ]);
    table.to_text()
}

fn platform_text(status: &PlatformStatus) -> String {
    let reachability = if status.reachable {
        "reachable"
    } else {
        "not reachable"
    };
    let last_answer = status
        .last_answer_ms
        .map_or("never answered".to_owned(), |age| {
            format!("answered {age} ms ago")
        });
    format!("{reachability}, {last_answer}, {} reads", status.reads)
}

fn peer_table(report: &StatusReport) -> String {
    let mut table = Table::new(&["PEER", "DOMAIN", "RUN", "STATE", "LINK"]);
    for peer in &report.peers {
        table.push_row(&[
            &peer.instance,
            &peer.failure_domain,
            &short_incarnation(peer.incarnation),
            &state_text(peer.state),
            &if peer.linked { "open" } else { "-" },
        ]);
    }
    table.to_text()
}

fn target_table(report: &StatusReport) -> String {
    let mut table = Table::new(&["TARGET", "RUN", "STATE", "IN FLIGHT", "BACKLOG", "PREFILL"]);
    for target in &report.targets {
        table.push_row(&[
            &target.target,
            &target.incarnation.map_or("-".to_owned(), short_incarnation),
            &health_text(target.health),
            &target.in_flight,
            &format!("{} ms", target.backlog_ms),
            &format!("{:.0} tokens/s", target.prefill_tokens_per_s),
        ]);
    }
    table.to_text()
}

fn short_incarnation(incarnation: Incarnation) -> String {
    incarnation
        .to_string()
        .chars()
        .take(INCARNATION_DIGITS)
        .collect()
}

fn state_text(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}

fn health_text(health: TargetHealth) -> &'static str {
    match health {
        TargetHealth::Serving => "serving",
        TargetHealth::Leaving => "leaving",
        TargetHealth::Gone => "gone",
    }
}

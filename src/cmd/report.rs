//! `medlarhatch report`: prints reports of an entry.

use crate::{
    cli::{
        Format,
        ReportCommand, //
    },
    messages::Failure, //
};

/// Prints a report as the entry renders it.
pub async fn run(command: ReportCommand) -> Result<(), Failure> {
    let (entry, report, format) = match &command {
        ReportCommand::Burn(args) if args.html => (&args.entry, "burn", "html"),
        ReportCommand::Burn(args) => (&args.entry, "burn", name(&args.format)),
        ReportCommand::Resumes(args) => (&args.entry, "resumes", name(&args.format)),
        ReportCommand::Moves(args) => (&args.entry, "moves", name(&args.format)),
    };
    let unreachable = |error| Failure::Unreachable(format!("{entry} can't be reached: {error}"));
    let response = reqwest::Client::new()
        .get(format!("{entry}/reports/{report}?format={format}"))
        .send()
        .await
        .map_err(unreachable)?;
    if !response.status().is_success() {
        let status = response.status();
        return Err(Failure::Failed(format!("{entry} responded with {status}")));
    }
    println!("{}", response.text().await.map_err(unreachable)?.trim_end());
    Ok(())
}

/// Returns the name of a format in the query.
fn name(format: &Format) -> &'static str {
    match format {
        Format::Text => "text",
        Format::Json => "json",
    }
}

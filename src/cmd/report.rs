//! `medlarhatch report`.

use crate::{
    cli::{
        Format,
        ReportCommand, //
    },
    messages::Failure, //
};

/// Prints a report as the entry gives it.
pub async fn run(command: ReportCommand) -> Result<(), Failure> {
    let (entry, what, format) = match &command {
        ReportCommand::Burn(args) if args.html => (&args.entry, "burn", "html"),
        ReportCommand::Burn(args) => (&args.entry, "burn", name(&args.format)),
        ReportCommand::Resumes(args) => (&args.entry, "resumes", name(&args.format)),
        ReportCommand::Moves(args) => (&args.entry, "moves", name(&args.format)),
    };
    let unreachable = |error| Failure::Unreachable(format!("{entry} can't be reached: {error}"));
    let answer = reqwest::Client::new()
        .get(format!("{entry}/reports/{what}?format={format}"))
        .send()
        .await
        .map_err(unreachable)?;
    if !answer.status().is_success() {
        let status = answer.status();
        return Err(Failure::Failed(format!("{entry} answered {status}")));
    }
    println!("{}", answer.text().await.map_err(unreachable)?.trim_end());
    Ok(())
}

fn name(format: &Format) -> &'static str {
    match format {
        Format::Text => "text",
        Format::Json => "json",
    }
}

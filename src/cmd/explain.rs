//! `medlarhatch explain`: explains one request, or summarizes all requests, from log files.

use std::fs;

use report::explain::{
    self,
    Line,
    read,
    summary::summary, //
};

use crate::{
    cli::Explain,
    messages::Failure, //
};

/// Prints the explanation or the summary.
pub fn run(arguments: &Explain) -> Result<(), Failure> {
    if arguments.summary {
        return summarize(arguments);
    }
    let Some((id, files)) = arguments.id_and_files.split_first() else {
        return Err(Failure::Usage(
            "the id of a request and its log files are missing; see `medlarhatch explain --help`"
                .into(),
        ));
    };
    let lines = read_lines(files)?;
    let Some(explanation) = explain::explain(&lines, id) else {
        return Err(Failure::Failed(format!(
            "none of the {} lines names {id}; its process may have been killed before it logged \
             the request, or lines were dropped",
            lines.len(),
        )));
    };
    print!("{explanation}");
    Ok(())
}

/// Prints the summary as text or JSON.
fn summarize(arguments: &Explain) -> Result<(), Failure> {
    let lines = read_lines(&arguments.id_and_files)?;
    let summary = summary(&lines, arguments.window);
    if !arguments.json {
        print!("{summary}");
        return Ok(());
    }
    let text =
        serde_json::to_string_pretty(&summary).map_err(|e| Failure::Failed(e.to_string()))?;
    println!("{text}");
    Ok(())
}

/// Reads the log lines of all files.
fn read_lines(files: &[String]) -> Result<Vec<Line>, Failure> {
    let mut lines = Vec::new();
    for file in files {
        let bytes = fs::read(file).map_err(|error| Failure::Failed(format!("{file}: {error}")))?;
        lines.extend(read(&String::from_utf8_lossy(&bytes)));
    }
    Ok(lines)
}

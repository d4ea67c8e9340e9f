//! `medlarhatch explain`: a request's story, or a summary of all requests, from log files.

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

/// Tells the story, or the summary.
pub fn run(arguments: &Explain) -> Result<(), Failure> {
    if arguments.summary {
        return sum_up(arguments);
    }
    let Some((id, files)) = arguments.words.split_first() else {
        return Err(Failure::Usage(
            "the id of a request and its log files are needed; see `medlarhatch explain --help`"
                .into(),
        ));
    };
    let lines = lines(files)?;
    let Some(story) = explain::explain(&lines, id) else {
        return Err(Failure::Failed(format!(
            "none of the {} lines names {id}; its process may have been killed before it wrote, or \
             lines were dropped",
            lines.len(),
        )));
    };
    print!("{story}");
    Ok(())
}

fn sum_up(arguments: &Explain) -> Result<(), Failure> {
    let lines = lines(&arguments.words)?;
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

fn lines(files: &[String]) -> Result<Vec<Line>, Failure> {
    let mut lines = Vec::new();
    for file in files {
        let bytes = fs::read(file).map_err(|error| Failure::Failed(format!("{file}: {error}")))?;
        lines.extend(read(&String::from_utf8_lossy(&bytes)));
    }
    Ok(lines)
}

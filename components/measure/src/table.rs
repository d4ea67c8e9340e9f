//! Tables in Markdown.

/// Prints a table with a heading row.
pub fn print(heading: &[&str], rows: &[Vec<String>]) {
    println!("| {} |", heading.join(" | "));
    println!("|{}", " --- |".repeat(heading.len()));
    for row in rows {
        println!("| {} |", row.join(" | "));
    }
}

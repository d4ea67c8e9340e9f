//! Prints Markdown tables.

/// Prints a Markdown table with a heading row to standard output.
pub fn print(heading: &[&str], rows: &[Vec<String>]) {
    println!("| {} |", heading.join(" | "));
    println!("|{}", " --- |".repeat(heading.len()));
    for row in rows {
        println!("| {} |", row.join(" | "));
    }
}

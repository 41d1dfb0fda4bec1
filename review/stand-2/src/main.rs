//! Plays a case of the review: stand-ins of the platform's store, of runners and of callers around
//! the project's own programs.
//!
//! `review-stand-2 CASE FOLDER` writes `record.txt` to the folder, and ends with 0 if the rule held,
//! 1 if it was broken, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod engine;
mod fleet;
mod http;
mod json;
mod owner;
mod record;
mod store;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

/// What came of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-stand-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = Path::new(folder);
    let Ok(record) = Record::create(&folder.join("record.txt")) else {
        eprintln!("the record can't be written");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let temporary = std::env::temp_dir().join(format!("review-{}-{}", case, std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return ExitCode::from(2);
    }
    let verdict = cases::play(case, &temporary, &record, has_trouble);
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        record.line(&format!("logs are kept in {}", temporary.display()));
    }
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "the rule was broken".to_owned()),
        Verdict::NotRun(why) => (2, format!("the case could not run: {why}")),
    };
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}

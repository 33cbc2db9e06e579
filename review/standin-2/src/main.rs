//! Runs one of the second review's scripts: `review-standin-2 CASE RECORD`.
//!
//! Starts stand-ins of the platform and of one service with three servers, eight nodes of the
//! project's program, and clients. Exits with 1 if the rule was broken, with 0 if it held, and with
//! 2 if the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod client;
mod database;
mod http;
mod node;
mod record;
mod site;
mod store;

use std::{env, path::Path, process::ExitCode, sync::Arc};

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: review-standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(Path::new(path)) else {
        eprintln!("cannot write {path}");
        return ExitCode::from(2);
    };
    let record = Arc::new(record);
    let with_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let code = cases::run(case, with_trouble, &record);
    record.line(&format!("exit code {code}"));
    ExitCode::from(code)
}

//! Runs one case of the review: `review-cases-2 CASE RECORD`, from the repository's root.
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//! With `TROUBLE=0` in the environment the disruption is left out.

mod advice;
mod late_hold;
mod phantom;
mod record;
mod removed_route;
mod site;
mod standing;
mod store;
mod worker;

use std::path::Path;

use crate::record::Record;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: review-cases-2 CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let Ok(record) = Record::create(Path::new(path)) else {
        eprintln!("cannot write {path}");
        std::process::exit(2);
    };
    record.line(&format!("case {case}, TROUBLE={}", u8::from(trouble)));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let code = runtime.block_on(async {
        match case.as_str() {
            "phantom" => site::limit_time(phantom::run(&record, trouble)).await,
            "standing" => site::limit_time(standing::run(&record, trouble)).await,
            "removed-route" => site::limit_time(removed_route::run(&record, trouble)).await,
            "late-hold" => site::limit_time(late_hold::run(&record, trouble)).await,
            _ => 2,
        }
    });
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}

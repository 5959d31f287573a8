//! Runs one case of the third review: `review_cases_3 CASE FOLDER`, from the root of the
//! repository. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
//! not run. With `TROUBLE=0` it leaves the disruption out.

mod deployment;
mod fleet;
mod job_room;
mod labelled;
mod large;
mod paged_store;
mod public_queue;
mod quota;

use std::path::Path;

use deployment::Record;
use deployment::cannot_run;

/// What a case has found.
#[derive(Debug)]
pub struct Finding {
    pub broken: bool,
    pub what: String,
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = args.as_slice() else {
        cannot_run("usage: review_cases_3 CASE FOLDER");
    };
    let record = Record::new();
    let dir = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    if std::fs::create_dir_all(&dir).is_err() {
        cannot_run("no temporary folder");
    }
    let rt = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let finding = rt.block_on(async {
        tokio::spawn(deployment::end_when_stopped());
        match case.as_str() {
            "job-room" => job_room::run(&record, &dir).await,
            "labelled" => labelled::run(&record, &dir).await,
            "large" => large::run(&record, &dir).await,
            "public-queue" => public_queue::run(&record, &dir).await,
            "quota" => quota::run(&record, &dir).await,
            _ => cannot_run("there is no such case"),
        }
    });
    let verdict = if finding.broken { "BROKEN" } else { "HELD" };
    record.add(format!("{verdict}: {}", finding.what));
    record.write(&Path::new(folder).join("record.txt"));
    println!("{verdict}: {}", finding.what);
    match std::env::var("KEEP_LOGS") {
        Ok(_) => println!("logs: {}", dir.display()),
        Err(_) => drop(std::fs::remove_dir_all(&dir)),
    }
    std::process::exit(i32::from(finding.broken));
}

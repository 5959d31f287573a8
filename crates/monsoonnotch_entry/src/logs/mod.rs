//! Log lines for numbered events.

use logforth::append;
use logforth::layout::JsonLayout;
use logforth::record::Level;
use logforth::record::LevelFilter;
use monsoonnotch_core::notice;
use monsoonnotch_core::notice::Notice;

use crate::measure;

/// Sets up logging to standard output, one JSON object a line.
pub fn set_up() {
    let filter = LevelFilter::MoreSevereEqual(Level::Info);
    logforth::starter_log::builder()
        .dispatch(|d| {
            d.filter(filter)
                .append(append::Stdout::default().with_layout(JsonLayout::default()))
        })
        .apply();
}

/// Logs an event under its number and counts it.
pub fn log_notice(notice: &Notice) {
    let level = match notice.level() {
        notice::Level::Error => log::Level::Error,
        notice::Level::Warn => log::Level::Warn,
        notice::Level::Info => log::Level::Info,
    };
    let number = notice.number();
    measure::record_notice(notice);
    log::log!(level, event = number; "MN{number:03} {}", notice.text());
}

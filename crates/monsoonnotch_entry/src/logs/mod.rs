//! Logging of numbered notices as JSON lines.

use logforth::append;
use logforth::layout::JsonLayout;
use logforth::record::Level;
use logforth::record::LevelFilter;
use monsoonnotch_core::notice;
use monsoonnotch_core::notice::Notice;

use crate::measure;

/// Sets up logging to standard output as one JSON object per line, from level info upwards.
pub fn set_up() {
    let filter = LevelFilter::MoreSevereEqual(Level::Info);
    logforth::starter_log::builder()
        .dispatch(|d| {
            d.filter(filter)
                .append(append::Stdout::default().with_layout(JsonLayout::default()))
        })
        .apply();
}

/// Logs a notice under its event number and counts it in the metrics.
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

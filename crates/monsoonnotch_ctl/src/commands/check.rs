//! The `check` command, which checks a settings file.

use monsoonnotch_entry::settings::Settings;
use serde_json::json;

use super::Cx;
use crate::client::Error;
use crate::output;

pub(super) fn run(cx: &Cx) -> Result<(), Error> {
    let path = cx.arg(0);
    Settings::read(path).map_err(|e| Error::Input(e.to_string()))?;
    match cx.json {
        true => output::print_line(&json!({ "file": path, "sound": true }).to_string()),
        false => output::print_line(&format!("{path}: the settings are valid")),
    }
    Ok(())
}

//! Converts option texts to values and reports a fault for each invalid one.

use {
    super::OptionFault,
    bpaf::{Parser, long},
    std::{net::SocketAddr, ops::RangeInclusive, path::PathBuf, time::Duration},
};

/// Maximum length of the name of a VM or failure domain. Names appear in logs, metrics and
/// certificates, where longer names are truncated or rejected.
const MAX_NAME_BYTES: usize = 63;

/// Parser of an optional named option as text.
pub(super) fn text(
    flag: &'static str,
    variable: &'static str,
    metavar: &'static str,
    help: &'static str,
) -> impl Parser<Option<String>> {
    long(flag).env(variable).help(help).argument::<String>(metavar).optional()
}

/// Reports an invalid `value` of `option`.
pub(super) fn report_invalid(
    faults: &mut Vec<OptionFault>,
    option: &str,
    value: impl ToString,
    remedy: impl ToString,
) {
    faults.push(OptionFault::Invalid {
        option: option.to_owned(),
        value: value.to_string(),
        remedy: remedy.to_string(),
    });
}

/// Whether `name` can appear unchanged in logs, metrics, paths and certificates.
pub fn is_valid_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name.chars().all(|letter| letter.is_ascii_alphanumeric() || "-_.".contains(letter))
}

/// Description of a valid name for error messages.
pub const NAME_REMEDY: &str = "use 1 to 63 letters, digits, dots, dashes or underscores";

/// Parses a required name.
pub(super) fn required_name(
    faults: &mut Vec<OptionFault>,
    option: &str,
    given: Option<String>,
) -> String {
    match given {
        Some(name) if is_valid_name(&name) => name,
        Some(other) => {
            report_invalid(faults, option, &other, NAME_REMEDY);
            other
        }
        None => {
            faults.push(OptionFault::Missing {
                option: option.to_owned(),
                remedy: NAME_REMEDY.to_owned(),
            });
            String::new()
        }
    }
}

/// Parses an IP address with a port.
pub(super) fn address(
    faults: &mut Vec<OptionFault>,
    option: &str,
    given: Option<String>,
    default: SocketAddr,
) -> SocketAddr {
    let Some(given) = given else { return default };
    given.parse().unwrap_or_else(|_| {
        report_invalid(
            faults,
            option,
            given,
            "give an IP address and a port such as 10.0.0.7:8080",
        );
        default
    })
}

/// Parses a duration such as `500ms` or `30s`, within `range`.
pub(super) fn duration(
    faults: &mut Vec<OptionFault>,
    option: &str,
    given: Option<String>,
    default: Duration,
    range: RangeInclusive<Duration>,
) -> Duration {
    let Some(given) = given else { return default };
    match humantime::parse_duration(&given) {
        Ok(duration) if range.contains(&duration) => duration,
        _ => {
            let remedy = format!(
                "give a duration from {} to {}, such as {}",
                humantime::format_duration(*range.start()),
                humantime::format_duration(*range.end()),
                humantime::format_duration(default)
            );
            report_invalid(faults, option, given, remedy);
            default
        }
    }
}

/// Parses a whole number within `range`.
pub(super) fn count(
    faults: &mut Vec<OptionFault>,
    option: &str,
    given: Option<String>,
    default: usize,
    range: RangeInclusive<usize>,
) -> usize {
    let Some(given) = given else { return default };
    match given.parse() {
        Ok(count) if range.contains(&count) => count,
        _ => {
            let (least, most) = range.into_inner();
            let remedy = format!("give a whole number from {least} to {most}, such as {default}");
            report_invalid(faults, option, given, remedy);
            default
        }
    }
}

/// Parses the path of a file that must exist and be readable.
pub(super) fn file(faults: &mut Vec<OptionFault>, option: &str, given: String) -> PathBuf {
    let path = PathBuf::from(&given);
    if let Err(error) = std::fs::File::open(&path) {
        let remedy = format!(
            "the file cannot be read ({error}); create it with `oleandermountctl keys create` or \
             correct the path"
        );
        report_invalid(faults, option, given, remedy);
    }
    path
}

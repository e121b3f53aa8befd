//! Reads and checks the settings.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;

use clock::Millis;
use errors::{Finding, Findings, Place};
use model::{InstanceId, Peer};

use crate::Flags;

/// How long a planned stop is announced by default, in milliseconds.
const DEFAULT_DRAIN_NOTICE_MS: u64 = 1_000;
/// The longest that a request may take by default, in milliseconds.
const DEFAULT_LONGEST_REQUEST_MS: u64 = 30_000;
/// The values that may be set as the longest that a request may take, in milliseconds.
const LONGEST_REQUEST_RANGE_MS: std::ops::RangeInclusive<u64> = 100..=120_000;

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Text for people.
    Text,
    /// One JSON object per line.
    Json,
}

/// The checked settings of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance.
    pub own: Peer,
    /// All instances of the cell, including this one.
    pub peers: BTreeMap<InstanceId, Peer>,
    /// The address that operators call.
    pub operators: SocketAddr,
    /// The address at which the platform serves its list of workers.
    pub platform: SocketAddr,
    /// The data folder, if this instance has a disk.
    pub data_folder: Option<PathBuf>,
    /// How long `/health` warns the balancer before a planned stop refuses work.
    pub drain_notice: Millis,
    /// The longest that a caller's request may take.
    pub longest_request: Millis,
    /// The format of log lines.
    pub log_format: LogFormat,
    /// The log level: "error", "warn", "info" or "off".
    pub log_level: Arc<str>,
    /// The seed of all random choices.
    pub seed: u64,
    /// For tests: the file with the names of instances whose links are refused.
    pub test_refuse_file: Option<PathBuf>,
}

/// A reader that looks settings up by flag, then by variable, and collects all faults.
struct Reader<'a> {
    variables: &'a BTreeMap<String, String>,
    findings: Findings,
}

/// The text of a setting and the flag or variable that it came from.
struct RawSetting {
    text: String,
    place: Place,
}

impl Reader<'_> {
    /// Returns the text of a setting, from its flag or else from its variable.
    fn find(&self, flag: &str, value: &Option<String>) -> Option<RawSetting> {
        if let Some(text) = value {
            return Some(RawSetting { text: text.clone(), place: Place::Flag(flag.into()) });
        }
        let variable = format!("HEATHVALE_{}", flag.replace('-', "_").to_uppercase());
        let text = self.variables.get(&variable)?.clone();
        Some(RawSetting { text, place: Place::Variable(variable.as_str().into()) })
    }

    /// Returns the text of a required setting, or records that it is missing.
    fn required(&mut self, flag: &str, value: &Option<String>) -> Option<RawSetting> {
        let setting = self.find(flag, value);
        if setting.is_none() {
            let variable = format!("HEATHVALE_{}", flag.replace('-', "_").to_uppercase());
            let finding = Finding::new(Place::Flag(flag.into()), "is required")
                .with_help(format!("give --{flag} or set {variable}"));
            self.findings.push(finding);
        }
        setting
    }

    fn add_fault(&mut self, place: &Place, message: impl Into<String>) {
        self.findings.push(Finding::new(place.clone(), message));
    }

    /// Parses a setting, or records that its text is not `what`.
    fn parse<T: FromStr>(&mut self, setting: Option<RawSetting>, what: &str) -> Option<T> {
        let setting = setting?;
        let parsed = setting.text.parse().ok();
        if parsed.is_none() {
            self.add_fault(&setting.place, format!("\"{}\" is not {what}", setting.text));
        }
        parsed
    }

    /// Returns a setting in milliseconds, or its default.
    fn millis(&mut self, flag: &str, value: &Option<String>, default: u64) -> Millis {
        let setting = self.find(flag, value);
        Millis(self.parse(setting, "a number of milliseconds").unwrap_or(default))
    }

    /// Returns the value that a setting's text selects, or the first of `choices` if it is not set.
    fn choice<T: Copy>(&mut self, flag: &str, value: &Option<String>, choices: &[(&str, T)]) -> T {
        let Some(setting) = self.find(flag, value) else { return choices[0].1 };
        match choices.iter().find(|(name, _)| *name == setting.text) {
            Some((_, choice)) => *choice,
            None => {
                let names: Vec<&str> = choices.iter().map(|c| c.0).collect();
                let message = format!("\"{}\" is not one of {}", setting.text, names.join(", "));
                self.add_fault(&setting.place, message);
                choices[0].1
            }
        }
    }

    /// Parses the list of instances, and records duplicates and a cell without any disk.
    fn peers(&mut self, setting: Option<RawSetting>) -> BTreeMap<InstanceId, Peer> {
        let mut peers: BTreeMap<InstanceId, Peer> = BTreeMap::new();
        let Some(RawSetting { text, place }) = setting else { return peers };
        for part in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
            match Peer::parse(part) {
                Ok(peer) if peers.contains_key(&peer.id) => {
                    self.add_fault(&place, format!("the instance \"{}\" is listed twice", peer.id));
                }
                Ok(peer) => {
                    peers.insert(peer.id.clone(), peer);
                }
                Err(message) => self.add_fault(&place, message),
            }
        }
        if !peers.is_empty() && !peers.values().any(|p| p.has_disk) {
            self.add_fault(
                &place,
                "no instance is marked +disk, so the log could not commit anything",
            );
        }
        peers
    }
}

/// Reads the settings from flags, or from `variables` where a flag is missing.
///
/// # Errors
/// Returns all faults together, each with its flag or variable.
pub fn read(flags: &Flags, variables: &BTreeMap<String, String>) -> Result<Settings, Findings> {
    let mut r = Reader { variables, findings: Findings::default() };
    let name = r.required("name", &flags.name);
    let peers = r.required("peers", &flags.peers);
    let peers = r.peers(peers);
    let operators = r.required("operators", &flags.operators);
    let operators = r.parse::<SocketAddr>(operators, "an ip:port");
    let platform = r.required("platform", &flags.platform);
    let platform = r.parse::<SocketAddr>(platform, "an ip:port");
    let data_folder = r.find("data-folder", &flags.data_folder);
    let drain_notice = r.millis("drain-notice-ms", &flags.drain_notice_ms, DEFAULT_DRAIN_NOTICE_MS);
    let longest = &flags.longest_request_ms;
    let longest_request = r.millis("longest-request-ms", longest, DEFAULT_LONGEST_REQUEST_MS);
    if !LONGEST_REQUEST_RANGE_MS.contains(&longest_request.0) {
        let place = Place::Flag("longest-request-ms".into());
        r.add_fault(&place, "must lie between 100 and 120000");
    }
    let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    let log_format = r.choice("log-format", &flags.log_format, &formats);
    let levels = [("info", "info"), ("warn", "warn"), ("error", "error"), ("off", "off")];
    let log_level = r.choice("log-level", &flags.log_level, &levels);
    let seed = r.find("seed", &flags.seed);
    let seed = r.parse::<u64>(seed, "a whole number").unwrap_or(clock::wall_now().0);
    let refuse_file = r.find("test-refuse-file", &flags.test_refuse_file);
    let own = own_peer(&mut r, name, &peers, data_folder.as_ref());
    let (Some(own), Some(operators), Some(platform)) = (own, operators, platform) else {
        return Err(r.findings);
    };
    let settings = Settings {
        own,
        peers,
        operators,
        platform,
        data_folder: data_folder.map(|g| g.text.into()),
        drain_notice,
        longest_request,
        log_format,
        log_level: log_level.into(),
        seed,
        test_refuse_file: refuse_file.map(|g| g.text.into()),
    };
    r.findings.into_result(settings)
}

/// Returns this instance from the list of peers, and checks that a data folder is given exactly if the instance
/// has a disk.
fn own_peer(
    r: &mut Reader<'_>,
    name: Option<RawSetting>,
    peers: &BTreeMap<InstanceId, Peer>,
    data_folder: Option<&RawSetting>,
) -> Option<Peer> {
    let name = name?;
    let Some(own) = peers.get(&InstanceId::from(name.text.as_str())) else {
        if !peers.is_empty() {
            r.add_fault(&name.place, format!("\"{}\" is not one of --peers", name.text));
        }
        return None;
    };
    match (own.has_disk, data_folder) {
        (true, None) => {
            let place = Place::Flag("data-folder".into());
            r.add_fault(&place, "is required, because --peers marks this instance with +disk");
        }
        (false, Some(setting)) => {
            let place = setting.place.clone();
            r.add_fault(
                &place,
                "is not allowed, because --peers does not mark this instance +disk",
            );
        }
        _ => {}
    }
    Some(own.clone())
}

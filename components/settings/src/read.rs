//! Reading and checking the settings.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;

use clock::Millis;
use errors::{Finding, Findings, Place};
use model::{InstanceId, Peer};

use crate::Flags;

const DEFAULT_DRAIN_NOTICE: u64 = 1_000;
const DEFAULT_LONGEST_REQUEST: u64 = 30_000;
const LONGEST_REQUEST_RANGE: std::ops::RangeInclusive<u64> = 100..=120_000;

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// The checked settings of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance.
    pub own: Peer,
    /// All instances, this one too.
    pub peers: BTreeMap<InstanceId, Peer>,
    /// Where operators call.
    pub operators: SocketAddr,
    /// Where the platform gives its list.
    pub platform: SocketAddr,
    /// The data folder, if this instance has a disk.
    pub data_folder: Option<PathBuf>,
    /// How long the balancer is warned before a planned stop.
    pub drain_notice: Millis,
    /// The longest that a caller's request may take.
    pub longest_request: Millis,
    /// How log lines are written.
    pub log_format: LogFormat,
    /// How much is logged: "error", "warn", "info" or "off".
    pub log_level: Arc<str>,
    /// The seed.
    pub seed: u64,
    /// The test file of refused links.
    pub test_refuse_file: Option<PathBuf>,
}

/// Looks settings up by flag, then by variable, and collects faults.
struct Reader<'a> {
    variables: &'a BTreeMap<String, String>,
    findings: Findings,
}

/// A setting's text and where it came from.
struct Given {
    text: String,
    place: Place,
}

impl Reader<'_> {
    fn find(&self, flag: &str, value: &Option<String>) -> Option<Given> {
        if let Some(text) = value {
            return Some(Given { text: text.clone(), place: Place::Flag(flag.into()) });
        }
        let variable = format!("HEATHVALE_{}", flag.replace('-', "_").to_uppercase());
        let text = self.variables.get(&variable)?.clone();
        Some(Given { text, place: Place::Variable(variable.as_str().into()) })
    }

    fn required(&mut self, flag: &str, value: &Option<String>) -> Option<Given> {
        let given = self.find(flag, value);
        if given.is_none() {
            let variable = format!("HEATHVALE_{}", flag.replace('-', "_").to_uppercase());
            let finding = Finding::new(Place::Flag(flag.into()), "is required")
                .with_help(format!("give --{flag} or set {variable}"));
            self.findings.push(finding);
        }
        given
    }

    fn fault(&mut self, place: &Place, message: impl Into<String>) {
        self.findings.push(Finding::new(place.clone(), message));
    }

    fn parse<T: FromStr>(&mut self, given: Option<Given>, what: &str) -> Option<T> {
        let given = given?;
        let parsed = given.text.parse().ok();
        if parsed.is_none() {
            self.fault(&given.place, format!("\"{}\" is not {what}", given.text));
        }
        parsed
    }

    fn millis(&mut self, flag: &str, value: &Option<String>, default: u64) -> Millis {
        let given = self.find(flag, value);
        Millis(self.parse(given, "a number of milliseconds").unwrap_or(default))
    }

    fn choice<T: Copy>(&mut self, flag: &str, value: &Option<String>, choices: &[(&str, T)]) -> T {
        let Some(given) = self.find(flag, value) else { return choices[0].1 };
        match choices.iter().find(|(name, _)| *name == given.text) {
            Some((_, choice)) => *choice,
            None => {
                let names: Vec<&str> = choices.iter().map(|c| c.0).collect();
                let message = format!("\"{}\" is none of {}", given.text, names.join(", "));
                self.fault(&given.place, message);
                choices[0].1
            }
        }
    }

    fn peers(&mut self, given: Option<Given>) -> BTreeMap<InstanceId, Peer> {
        let mut peers: BTreeMap<InstanceId, Peer> = BTreeMap::new();
        let Some(Given { text, place }) = given else { return peers };
        for part in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
            match Peer::parse(part) {
                Ok(peer) if peers.contains_key(&peer.id) => {
                    self.fault(&place, format!("the instance \"{}\" stands there twice", peer.id));
                }
                Ok(peer) => {
                    peers.insert(peer.id.clone(), peer);
                }
                Err(message) => self.fault(&place, message),
            }
        }
        if !peers.is_empty() && !peers.values().any(|p| p.has_disk) {
            self.fault(&place, "no instance is marked +disk, so nothing could be agreed on");
        }
        peers
    }
}

/// Reads the settings from flags, then from `variables`.
///
/// # Errors
/// Gives all the faults together, each with its flag or variable.
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
    let drain_notice = r.millis("drain-notice-ms", &flags.drain_notice_ms, DEFAULT_DRAIN_NOTICE);
    let longest = &flags.longest_request_ms;
    let longest_request = r.millis("longest-request-ms", longest, DEFAULT_LONGEST_REQUEST);
    if !LONGEST_REQUEST_RANGE.contains(&longest_request.0) {
        let place = Place::Flag("longest-request-ms".into());
        r.fault(&place, "must lie between 100 and 120000");
    }
    let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    let log_format = r.choice("log-format", &flags.log_format, &formats);
    let levels = [("info", "info"), ("warn", "warn"), ("error", "error"), ("off", "off")];
    let log_level = r.choice("log-level", &flags.log_level, &levels);
    let seed = r.find("seed", &flags.seed);
    let seed = r.parse::<u64>(seed, "a whole number").unwrap_or(clock::wall_now().0);
    let refuse = r.find("test-refuse-file", &flags.test_refuse_file);
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
        test_refuse_file: refuse.map(|g| g.text.into()),
    };
    r.findings.into_result(settings)
}

/// Finds this instance among the peers and checks that its data folder matches.
fn own_peer(
    r: &mut Reader<'_>,
    name: Option<Given>,
    peers: &BTreeMap<InstanceId, Peer>,
    data_folder: Option<&Given>,
) -> Option<Peer> {
    let name = name?;
    let Some(own) = peers.get(&InstanceId::from(name.text.as_str())) else {
        if !peers.is_empty() {
            r.fault(&name.place, format!("\"{}\" is not one of --peers", name.text));
        }
        return None;
    };
    match (own.has_disk, data_folder) {
        (true, None) => {
            let place = Place::Flag("data-folder".into());
            r.fault(&place, "is required, because --peers marks this instance with +disk");
        }
        (false, Some(given)) => {
            let place = given.place.clone();
            r.fault(&place, "is not allowed, because --peers does not mark this instance +disk");
        }
        _ => {}
    }
    Some(own.clone())
}

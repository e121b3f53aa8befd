//! Organisations as tests write them into a configuration's text: `org=NAME:CPU_MILLI:WEIGHT:KEY,KEY`.

use model::Size;
use workload::{Credential, KeyDigest, Organisation, Organisations};

/// The organisations that random schedules have.
pub const ORGANISATIONS: [&str; 3] = ["a", "b", "c"];

/// Returns the key of an organisation in a random schedule.
pub fn key_of(name: &str) -> String {
    format!("key-{name}")
}

/// Returns the text of a configuration with organisations of one key each and of equal weight, by name and limit.
pub fn configuration<'a>(limits: impl IntoIterator<Item = (&'a str, u64)>) -> String {
    let organisation =
        |(name, limit): (&str, u64)| format!("org={name}:{limit}:1:{}", key_of(name));
    limits.into_iter().map(organisation).collect::<Vec<_>>().join(" ")
}

/// Returns the credential of a call that bears a key.
pub fn with_key(key: &str) -> Credential {
    Credential::Key(KeyDigest::of(key))
}

/// Reads the organisations of a text and returns `None` if it lists none.
pub fn read_organisations(text: &str) -> Option<Organisations> {
    let mut all = Organisations::default();
    let words = text.split_whitespace().filter_map(|word| word.strip_prefix("org="));
    let mut found = false;
    for word in words {
        found = true;
        let fields: Vec<&str> = word.split(':').collect();
        let [name, limit, weight, keys] = fields[..] else { panic!("{word}") };
        let limit = Size::new(limit.parse().unwrap(), 0, 0);
        let weight = weight.parse().unwrap();
        all.add(Organisation { name: name.into(), weight, limit });
        for key in keys.split(',').filter(|k| !k.is_empty()) {
            all.add_key(KeyDigest::of(key), &name.into());
        }
    }
    found.then_some(all)
}

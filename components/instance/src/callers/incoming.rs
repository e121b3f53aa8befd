//! Parsing of callers' requests.

use cell::Claim;
use clock::Millis;
use model::{Class, RequestKey};
use ntex::util::Bytes;
use ntex::web::HttpRequest;
use upstream::headers;

/// The maximum duration of a request whose caller states none.
const DEFAULT_DEADLINE: Millis = Millis(10_000);
/// The maximum length of a caller's id or key in bytes.
pub(super) const MAX_ID_BYTES: usize = 200;

/// A request as its caller sent it.
pub(super) struct Incoming {
    pub(super) id: String,
    /// The id that the caller chose. It differs from `id` only if the request was forwarded.
    pub(super) caller: String,
    pub(super) class: Class,
    pub(super) deadline: Millis,
    pub(super) key: Option<Claim>,
    pub(super) repeatable: bool,
    pub(super) forwarded: bool,
    pub(super) work: Option<String>,
    pub(super) body: Bytes,
}

/// Returns the text of a header, if present.
pub(super) fn header_text<'a>(req: &'a HttpRequest, name: &str) -> Option<&'a str> {
    req.headers().get(name).and_then(|v| v.to_str().ok())
}

/// Reads a request. The error is a message for its caller.
pub(super) fn read_request(
    req: &HttpRequest,
    body: Bytes,
    now: Millis,
    max_duration: Millis,
) -> Result<Incoming, String> {
    let id = header_text(req, headers::REQUEST).unwrap_or_default();
    if id.is_empty() || id.len() > MAX_ID_BYTES {
        return Err(format!("{} must hold 1 to {MAX_ID_BYTES} bytes", headers::REQUEST));
    }
    let class = match header_text(req, headers::CLASS) {
        None => Class::Normal,
        Some(s) => Class::parse(s)
            .ok_or_else(|| format!("{} is none of urgent, normal, bulk", headers::CLASS))?,
    };
    let wait = match header_text(req, headers::DEADLINE) {
        None => DEFAULT_DEADLINE,
        Some(s) => {
            Millis(s.parse().map_err(|_| format!("{} is not a number of ms", headers::DEADLINE))?)
        }
    };
    let repeatable = match header_text(req, headers::REPEATABLE) {
        None | Some("yes") => true,
        Some("no") => false,
        Some(_) => return Err(format!("{} is neither yes nor no", headers::REPEATABLE)),
    };
    let key = if repeatable { None } else { Some(read_key(req)?) };
    let forwarded = header_text(req, headers::FORWARDED_BY).is_some();
    let caller = header_text(req, headers::CALLER).filter(|_| forwarded).unwrap_or(id);
    Ok(Incoming {
        id: id.to_string(),
        caller: caller.to_string(),
        class,
        deadline: now + wait.min(max_duration),
        key,
        repeatable,
        forwarded,
        work: header_text(req, headers::WORK_TIME).map(str::to_string),
        body,
    })
}

fn read_key(req: &HttpRequest) -> Result<Claim, String> {
    let key = header_text(req, headers::KEY).unwrap_or_default();
    if key.is_empty() || key.len() > MAX_ID_BYTES {
        return Err(format!(
            "a non-repeatable request needs {} of 1 to {MAX_ID_BYTES} bytes",
            headers::KEY
        ));
    }
    let issued = header_text(req, headers::KEY_ISSUED_AT).and_then(|s| s.parse().ok());
    let issued = issued.ok_or_else(|| {
        format!("a non-repeatable request needs {}, when its key was made", headers::KEY_ISSUED_AT)
    })?;
    Ok(Claim { key: RequestKey::from(key), issued: Millis(issued) })
}

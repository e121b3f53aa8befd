//! `heathvale load`: a bounded load of callers' requests, with histograms.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use errors::{Finding, Findings, Place, Result};
use hdrhistogram::Histogram;
use model::Class;
use ntex::client::{Client, Connector};
use ntex::time::{Millis as Wait, sleep};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use upstream::headers;

use crate::cli::{LoadOpts, parse_addresses};

const MOST_PER_SECOND: u64 = 5_000;
const MOST_SECONDS: u64 = 600;
/// How often requests are sent and progress is looked at.
const STEP: Wait = Wait(10);
/// What is waited for the last answers beyond the deadline.
const GRACE_MS: u64 = 2_000;
const HISTOGRAM_DIGITS: u8 = 2;

/// What one answer was.
#[derive(Clone, Debug)]
struct Answered {
    id: String,
    key: Option<String>,
    class: Class,
    outcome: String,
    whole: bool,
    micros: u64,
}

/// All answers so far.
#[derive(Default)]
struct Tally {
    sent: u64,
    answers: Vec<Answered>,
}

/// One request to send.
struct Call {
    id: String,
    class: Class,
    once: bool,
    work_ms: u64,
    deadline_ms: u64,
}

/// Sends the load and prints what came of it.
///
/// # Errors
/// All faults of the flags together.
pub async fn run(opts: &LoadOpts) -> Result<()> {
    let Plan { targets, mix } = check(opts)?;
    let client = client().await?;
    let tally = Rc::new(RefCell::new(Tally::default()));
    let mut rng = StdRng::seed_from_u64(opts.seed);
    let started = Instant::now();
    let total = opts.rate * opts.seconds;
    let mut told = 0;
    while tally.borrow().sent < total {
        let elapsed = started.elapsed().as_micros() as u64;
        let due = (elapsed * opts.rate / 1_000_000).min(total);
        while tally.borrow().sent < due {
            let number = tally.borrow().sent;
            let call = new_call(opts, &mix, number, &mut rng);
            let target = targets[rng.random_range(0..targets.len())];
            tally.borrow_mut().sent += 1;
            ntex::rt::spawn(send(client.clone(), target, call, tally.clone()));
        }
        if elapsed / 1_000_000 > told {
            told = elapsed / 1_000_000;
            let t = tally.borrow();
            say!("{told} s: sent {} answered {}", t.sent, t.answers.len());
        }
        sleep(STEP).await;
    }
    wait_for_answers(opts, &tally).await;
    let tally = tally.borrow();
    write_answers(opts, &tally)?;
    print(&tally, started);
    Ok(())
}

/// What the flags ask for, checked.
struct Plan {
    targets: Vec<SocketAddr>,
    mix: Vec<(Class, u32)>,
}

fn check(opts: &LoadOpts) -> Result<Plan, Findings> {
    let mut findings = Findings::default();
    let flag = |name: &str| Place::Flag(name.into());
    let targets = parse_addresses(&opts.to, &flag("to")).unwrap_or_else(|f| {
        findings.list.extend(f.list);
        Vec::new()
    });
    if targets.is_empty() {
        findings.push(Finding::new(flag("to"), "names no address"));
    }
    if targets.iter().any(|a| !a.ip().is_loopback()) {
        findings.push(Finding::new(flag("to"), "only loopback addresses may be loaded"));
    }
    if opts.rate == 0 || opts.rate > MOST_PER_SECOND {
        let message = format!("must lie between 1 and {MOST_PER_SECOND}");
        findings.push(Finding::new(flag("rate"), message));
    }
    if opts.seconds == 0 || opts.seconds > MOST_SECONDS {
        let message = format!("must lie between 1 and {MOST_SECONDS}");
        findings.push(Finding::new(flag("seconds"), message));
    }
    if opts.once_percent > 100 {
        findings.push(Finding::new(flag("once-percent"), "must lie between 0 and 100"));
    }
    let mut mix = Vec::new();
    for part in opts.mix.split(',') {
        let read = part
            .split_once('=')
            .and_then(|(c, w)| Some((Class::parse(c.trim())?, w.trim().parse::<u32>().ok()?)));
        match read {
            Some(entry) => mix.push(entry),
            None => findings.push(Finding::new(flag("mix"), format!("cannot read \"{part}\""))),
        }
    }
    if mix.iter().map(|m| u64::from(m.1)).sum::<u64>() == 0 {
        findings.push(Finding::new(flag("mix"), "all weights are zero"));
    }
    findings.into_result(Plan { targets, mix })
}

async fn client() -> Result<Client> {
    let connector = Connector::new().limit(4_096);
    let built = Client::builder().connector::<()>(connector).build(ntex::SharedCfg::default());
    built.await.map_err(|e| errors::Error::Unreachable {
        target: "the network".into(),
        reason: e.to_string(),
    })
}

fn new_call(opts: &LoadOpts, mix: &[(Class, u32)], number: u64, rng: &mut StdRng) -> Call {
    let total: u32 = mix.iter().map(|m| m.1).sum();
    let mut drawn = rng.random_range(0..total);
    let mut class = mix[0].0;
    for (c, weight) in mix {
        if drawn < *weight {
            class = *c;
            break;
        }
        drawn -= weight;
    }
    let once = rng.random_range(0..100) < opts.once_percent;
    let id = format!("load-{}-{number}", opts.seed);
    Call { id, class, once, work_ms: opts.work_ms, deadline_ms: opts.deadline_ms }
}

async fn send(client: Client, target: SocketAddr, call: Call, tally: Rc<RefCell<Tally>>) {
    let begun = Instant::now();
    let key = call.once.then(|| format!("{}-{}", call.id, clock::wall_now().0));
    let (outcome, whole) = exchange(&client, target, &call, key.as_deref()).await;
    let micros = begun.elapsed().as_micros() as u64;
    let Call { id, class, .. } = call;
    tally.borrow_mut().answers.push(Answered { id, key, class, outcome, whole, micros });
}

/// Gives the outcome and whether the answer was whole and for this request.
async fn exchange(
    client: &Client,
    target: SocketAddr,
    call: &Call,
    key: Option<&str>,
) -> (String, bool) {
    let wait = Wait((call.deadline_ms + GRACE_MS) as u32);
    let mut req = client
        .post(format!("http://{target}/run"))
        .timeout(wait)
        .header(headers::REQUEST, call.id.as_str())
        .header(headers::CLASS, call.class.as_str())
        .header(headers::DEADLINE, call.deadline_ms.to_string())
        .header(headers::WORK, call.work_ms.to_string());
    if let Some(key) = key {
        req = req
            .header(headers::REPEATABLE, "no")
            .header(headers::KEY, key)
            .header(headers::ISSUED, clock::wall_now().0.to_string());
    }
    let Ok(response) = req.send_body(call.id.clone()).await else {
        return ("unreachable".into(), true);
    };
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_string()
    };
    let (outcome, id) = (header(headers::OUTCOME), header(headers::REQUEST));
    let body = response.body().await.unwrap_or_default();
    let whole = outcome != "done" || (id == call.id && body == format!("ran:{}", call.id));
    (outcome, whole)
}

async fn wait_for_answers(opts: &LoadOpts, tally: &Rc<RefCell<Tally>>) {
    let waited = Instant::now();
    let most = (opts.deadline_ms + GRACE_MS * 2) as u128;
    while (tally.borrow().answers.len() as u64) < tally.borrow().sent
        && waited.elapsed().as_millis() < most
    {
        sleep(STEP).await;
    }
}

fn write_answers(opts: &LoadOpts, tally: &Tally) -> Result<()> {
    let Some(path) = &opts.answers else { return Ok(()) };
    let path = std::path::Path::new(path);
    let mut file = std::fs::File::create(path).map_err(errors::io("create", path))?;
    for a in &tally.answers {
        let line = serde_json::json!({
            "id": a.id, "key": a.key, "outcome": a.outcome, "whole": a.whole, "micros": a.micros,
        });
        writeln!(file, "{line}").map_err(errors::io("write", path))?;
    }
    Ok(())
}

fn print(tally: &Tally, started: Instant) {
    let seconds = started.elapsed().as_secs_f64();
    let done = tally.answers.iter().filter(|a| a.outcome == "done").count();
    say!("sent {} answered {} in {seconds:.1} s", tally.sent, tally.answers.len());
    say!("goodput {:.1} requests/s", done as f64 / seconds);
    let mut outcomes: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for a in &tally.answers {
        *outcomes.entry((a.class.as_str(), a.outcome.as_str())).or_default() += 1;
    }
    for ((class, outcome), n) in outcomes {
        say!("  {class:<7} {outcome:<14} {n}");
    }
    let broken = tally.answers.iter().filter(|a| !a.whole).count();
    say!("answers not whole or for another request: {broken}");
    for class in Class::ALL {
        let Ok(mut histogram) = Histogram::<u64>::new(HISTOGRAM_DIGITS) else { continue };
        let of_class = tally.answers.iter().filter(|a| a.class == class && a.outcome == "done");
        of_class.for_each(|a| histogram.record(a.micros).unwrap_or_default());
        if histogram.is_empty() {
            continue;
        }
        let ms = |q: f64| histogram.value_at_quantile(q) as f64 / 1_000.0;
        let (p50, p90, p99, max) = (ms(0.5), ms(0.9), ms(0.99), ms(1.0));
        say!(
            "  {:<7} done in p50 {p50:.1} p90 {p90:.1} p99 {p99:.1} max {max:.1} ms",
            class.as_str()
        );
    }
}

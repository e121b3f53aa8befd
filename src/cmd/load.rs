//! `heathvale load`: a bounded load of callers' requests, with histograms.

mod plan;
mod tally;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Instant;

use errors::Result;
use model::Class;
use ntex::client::{Client, Connector};
use ntex::time::{Millis as Wait, sleep};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use upstream::headers;

use self::plan::{Plan, check};
use self::tally::{Answered, Tally};
use crate::cli::LoadOpts;

/// How often requests are sent and progress is looked at.
const STEP: Wait = Wait(10);
/// What is waited for the last answers beyond the deadline.
const GRACE_MS: u64 = 2_000;

/// One request to send.
struct Call {
    id: String,
    class: Class,
    /// Whether it may run once only.
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
    if let Some(path) = &opts.answers {
        tally.write_answers(Path::new(path))?;
    }
    tally.print(started);
    Ok(())
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
        .header(headers::WORK_TIME, call.work_ms.to_string());
    if let Some(key) = key {
        req = req
            .header(headers::REPEATABLE, "no")
            .header(headers::KEY, key)
            .header(headers::KEY_ISSUED_AT, clock::wall_now().0.to_string());
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

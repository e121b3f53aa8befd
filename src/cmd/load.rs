//! `heathvale load`: sends a bounded load of callers' requests and prints how long the answers took.

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

use self::plan::{LoadPlan, check_flags};
use self::tally::{Answer, Tally};
use crate::cli::LoadOpts;

/// How often requests that are due are sent, and progress is checked.
const POLL_INTERVAL: Wait = Wait(10);
/// How long an answer may arrive after the request's deadline, in milliseconds. Less would count answers as
/// unreachable that are only on their way.
const GRACE_MS: u64 = 2_000;

/// One request to send.
struct Call {
    id: String,
    class: Class,
    /// Whether the request must not run more than once.
    run_once: bool,
    work_ms: u64,
    deadline_ms: u64,
}

/// Sends the load and prints the outcomes and latencies.
///
/// # Errors
/// All faults of the flags together, or an I/O error if the answers cannot be written.
pub async fn run(opts: &LoadOpts) -> Result<()> {
    let LoadPlan { targets, mix } = check_flags(opts)?;
    let client = client().await?;
    let tally = Rc::new(RefCell::new(Tally::default()));
    let mut rng = StdRng::seed_from_u64(opts.seed);
    let started = Instant::now();
    let total = opts.rate * opts.seconds;
    let mut reported_seconds = 0;
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
        if elapsed / 1_000_000 > reported_seconds {
            reported_seconds = elapsed / 1_000_000;
            let t = tally.borrow();
            outln!("{reported_seconds} s: sent {} answered {}", t.sent, t.answers.len());
        }
        sleep(POLL_INTERVAL).await;
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
    let mut pick = rng.random_range(0..total);
    let mut class = mix[0].0;
    for (c, weight) in mix {
        if pick < *weight {
            class = *c;
            break;
        }
        pick -= weight;
    }
    let run_once = rng.random_range(0..100) < opts.once_percent;
    let id = format!("load-{}-{number}", opts.seed);
    Call { id, class, run_once, work_ms: opts.work_ms, deadline_ms: opts.deadline_ms }
}

async fn send(client: Client, target: SocketAddr, call: Call, tally: Rc<RefCell<Tally>>) {
    let started = Instant::now();
    let key = call.run_once.then(|| format!("{}-{}", call.id, clock::wall_now().0));
    let (outcome, valid) = exchange(&client, target, &call, key.as_deref()).await;
    let micros = started.elapsed().as_micros() as u64;
    let Call { id, class, .. } = call;
    tally.borrow_mut().answers.push(Answer { id, key, class, outcome, valid, micros });
}

/// Sends a request and returns the outcome, and whether the answer was complete and for this request.
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
    let valid = outcome != "done" || (id == call.id && body == format!("ran:{}", call.id));
    (outcome, valid)
}

async fn wait_for_answers(opts: &LoadOpts, tally: &Rc<RefCell<Tally>>) {
    let started = Instant::now();
    let max_wait_ms = (opts.deadline_ms + GRACE_MS * 2) as u128;
    while (tally.borrow().answers.len() as u64) < tally.borrow().sent
        && started.elapsed().as_millis() < max_wait_ms
    {
        sleep(POLL_INTERVAL).await;
    }
}

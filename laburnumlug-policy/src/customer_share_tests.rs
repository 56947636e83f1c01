use std::collections::VecDeque;

use super::*;

const OBJECTIVE: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(2);
const WARM_UP: Duration = Duration::from_secs(5);
/// Maximum time for which gateways collect events before they send them.
const EVENT_DELAY: Duration = Duration::from_millis(40);

/// A customer's requests a second, from and until some time, and the work of each.
#[derive(Clone, Copy)]
struct Load {
    rate: f64,
    prefill: Duration,
    seconds: (u64, u64),
}

fn load(rate: f64, prefill_ms: u64) -> Load {
    Load {
        rate,
        prefill: Duration::from_millis(prefill_ms),
        seconds: (0, 1000),
    }
}

#[derive(Clone, Copy, Default)]
struct Outcome {
    sent: f64,
    /// Requests that waited for at most twice the objective.
    served: f64,
    /// Requests that waited for at most the objective.
    on_time: f64,
    seconds: f64,
}

impl Outcome {
    fn add(&mut self, taken: Duration, prefill: Duration) {
        let wait = taken - prefill;
        self.served += f64::from(u8::from(wait <= OBJECTIVE * 2));
        self.on_time += f64::from(u8::from(wait <= OBJECTIVE));
        self.seconds += prefill.as_secs_f64();
    }

    fn ratio(&self) -> f64 {
        self.served / self.sent
    }
}

#[derive(Clone, Copy)]
struct Prompt {
    engine: usize,
    /// Whether prompts of other customers go first.
    goes_last: bool,
    sent_at: Duration,
    customer: usize,
    prefill: Duration,
}

impl Prompt {
    fn work(&self) -> EngineWork {
        EngineWork {
            prefill: self.prefill,
            ..EngineWork::default()
        }
    }
}

struct Gateway {
    shares: CustomerShares,
    /// Work that the gateway believes to be queued at each engine: that goes first, and that goes last.
    queued: Vec<[Duration; 2]>,
}

impl Gateway {
    fn send(&mut self, now: Instant, prompt: &Prompt) {
        let customer = prompt.customer as u64;
        self.shares.record_sent(now, customer, prompt.work());
        self.shares.record_ended(customer, prompt.work());
        self.queued[prompt.engine][usize::from(prompt.goes_last)] += prompt.prefill;
    }

    fn complete(&mut self, prompt: &Prompt) {
        let queued = &mut self.queued[prompt.engine][usize::from(prompt.goes_last)];
        *queued = queued.saturating_sub(prompt.prefill);
    }

    /// Places a prompt like a gateway without customers, if its customer's share admits it.
    fn place(&mut self, now: Instant, prompt: &mut Prompt) -> bool {
        let customer = prompt.customer as u64;
        let request = ShareRequest {
            work: prompt.work(),
            ttft_objective: OBJECTIVE,
        };
        let queued = &self.queued;
        let nth_wait = |engines: usize| {
            let mut waits: Vec<Duration> = queued.iter().map(|work| work[0] + work[1]).collect();
            waits.sort();
            waits[engines.min(waits.len()) - 1]
        };
        let Ok(standing) = self.shares.admit(now, customer, &request, nth_wait) else {
            return false;
        };
        prompt.goes_last = standing == Standing::AboveShare;
        let wait = |engine: usize| match prompt.goes_last {
            true => queued[engine][0] + queued[engine][1],
            false => queued[engine][0],
        };
        // Ties are broken by the engine that was picked at random.
        let order = (0..queued.len()).map(|i| (prompt.engine + i) % queued.len());
        prompt.engine = order.min_by_key(|engine| wait(*engine)).unwrap();
        let has_room = wait(prompt.engine) <= OBJECTIVE;
        match has_room {
            true => self.send(now, prompt),
            false => self.shares.record_refused(now, customer, prompt.work()),
        }
        has_room
    }
}

/// Runs gateways and engines under a load and returns the outcome for each customer after the warm-up.
///
/// Engines prefill one prompt after another. A gateway knows at once what it has sent, and the rest after a delay, so
/// that several gateways may send to one engine at once.
fn run(loads: &[Load], engines: usize, gateways: usize, seconds: u64) -> Vec<Outcome> {
    let start = Instant::now();
    let mut random = 1u64;
    let mut uniform = || {
        random = random
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (random >> 33) as f64 / (1u64 << 31) as f64
    };
    let new_gateway = |_| {
        let mut shares = CustomerShares::new(start);
        shares.set_gateways(gateways);
        let queued = vec![Default::default(); engines];
        Gateway { shares, queued }
    };
    let mut fleet: Vec<Gateway> = (0..gateways).map(new_gateway).collect();
    let mut queues: Vec<Vec<Prompt>> = vec![Vec::new(); engines];
    let mut active: Vec<Option<(Duration, Prompt)>> = vec![None; engines];
    // Prompts that one gateway has sent, or that are complete, and when the others know.
    let mut reports: VecDeque<(Duration, Option<usize>, Prompt)> = VecDeque::new();
    let mut outcomes = vec![Outcome::default(); loads.len()];
    for step in 0..(seconds * 1000 / STEP.as_millis() as u64) as u32 {
        let time = STEP * step;
        let now = start + time;
        while reports.front().is_some_and(|report| report.0 <= time) {
            let (_, sender, prompt) = reports.pop_front().unwrap();
            for (i, gateway) in fleet.iter_mut().enumerate() {
                match sender {
                    None => gateway.complete(&prompt),
                    Some(sender) if sender != i => gateway.send(now, &prompt),
                    Some(_) => {}
                }
            }
        }
        for (active, queue) in active.iter_mut().zip(&mut queues) {
            if let Some((_, prompt)) = active.take_if(|(end, _)| *end <= time) {
                if time >= WARM_UP {
                    outcomes[prompt.customer].add(time - prompt.sent_at, prompt.prefill);
                }
                reports.push_back((time + EVENT_DELAY, None, prompt));
            }
            let next = (0..queue.len()).min_by_key(|i| (queue[*i].goes_last, queue[*i].sent_at));
            if let (None, Some(next)) = (&active, next) {
                let prompt = queue.remove(next);
                *active = Some((time + prompt.prefill, prompt));
            }
        }
        for (customer, load) in loads.iter().enumerate() {
            let is_sending = (load.seconds.0..load.seconds.1).contains(&time.as_secs());
            if !is_sending || uniform() >= load.rate * STEP.as_secs_f64() {
                continue;
            }
            outcomes[customer].sent += f64::from(u8::from(time >= WARM_UP));
            let mut prompt = Prompt {
                engine: (uniform() * engines as f64) as usize,
                goes_last: false,
                sent_at: time,
                customer,
                prefill: load.prefill,
            };
            let sender = (uniform() * gateways as f64) as usize;
            if fleet[sender].place(now, &mut prompt) {
                queues[prompt.engine].push(prompt);
                reports.push_back((time + EVENT_DELAY, Some(sender), prompt));
            }
        }
    }
    outcomes
}

/// Returns the outcome for all these customers together.
fn total(outcomes: &[Outcome]) -> Outcome {
    outcomes.iter().fold(Outcome::default(), |a, b| Outcome {
        sent: a.sent + b.sent,
        served: a.served + b.served,
        on_time: a.on_time + b.on_time,
        seconds: a.seconds + b.seconds,
    })
}

fn work(prefill_ms: u64) -> EngineWork {
    EngineWork {
        prefill: Duration::from_millis(prefill_ms),
        ..EngineWork::default()
    }
}

/// One customer floods gateways that do not yet know what the others send. Without shares, all customers were refused alike.
#[test]
fn admit_flood_of_ten_times_usual_load() {
    // Small customers and the usual load of the large one use 0.9 or 1.35 of the engines.
    for (small_rate, max_loss, gateways) in [(1.6, 0.03, 1), (1.6, 0.03, 8), (2.5, 0.1, 8)] {
        let mut loads = vec![load(small_rate, 100); 50];
        loads.push(load(10.0, 100));
        let usual = total(&run(&loads, 10, gateways, 25)[..50]).ratio();
        loads[50].rate *= 10.0;
        let flooded = run(&loads, 10, gateways, 25);
        let small = total(&flooded[..50]).ratio();
        assert!(
            small > usual - max_loss,
            "{small} of {usual}, {gateways} gateways"
        );
        let all = total(&flooded).ratio();
        let worst = flooded.iter().map(Outcome::ratio).fold(1.0, f64::min);
        assert!(worst > all / 4.0, "{worst} of {all}, {gateways} gateways");
        let busy = total(&flooded).seconds / 20.0 / 10.0;
        assert!(busy > 0.97, "{busy} of the engines are busy");
    }
}

/// A large customer takes what the others leave. They return to queues that it has filled up to the objective.
#[test]
fn admit_unused_shares_are_taken_and_returned() {
    for gateways in [1, 8] {
        let mut loads = vec![load(1.2, 100); 100];
        for (i, small) in loads.iter_mut().enumerate() {
            small.seconds = (15 + i as u64 / 50, 16 + i as u64 / 50);
        }
        loads.push(load(200.0, 100));
        let outcomes = run(&loads, 10, gateways, 20);
        let first = total(&outcomes[..50]).ratio();
        assert!(first > 0.5, "{first} within a second, {gateways} gateways");
        let second = total(&outcomes[50..100]).ratio();
        assert!(second > 0.97, "{second} later, {gateways} gateways");
        let busy = total(&outcomes).seconds / 15.0 / 10.0;
        assert!(busy > 0.97, "{busy} of the engines are busy");
    }
}

/// Two customers send more than the engines can take, beside small ones.
#[test]
fn admit_two_large_customers_at_150_percent() {
    let mut loads = vec![load(3.0, 100); 10];
    loads.extend([load(40.0, 100), load(80.0, 100)]);
    let outcomes = run(&loads, 10, 8, 35);
    let small = total(&outcomes[..10]).ratio();
    assert!(small > 0.97, "{small}");
    let ratio = outcomes[10].seconds / outcomes[11].seconds;
    assert!((0.8..1.25).contains(&ratio), "the large ones use {ratio}");
}

/// A customer sends prompts of 90,000 tokens, which block an engine for 4 s each, beside many short prompts.
#[test]
fn admit_only_largest_prompts() {
    let mut loads = vec![load(0.7, 100); 100];
    loads.push(load(3.0, 4000));
    let outcomes = run(&loads, 10, 8, 45);
    let small = total(&outcomes[..100]);
    let on_time = small.on_time / small.sent;
    assert!(on_time > 0.97, "{on_time}");
    assert!(outcomes[100].seconds > 0.0);
}

/// 10,000 customers and faulty ids take bounded memory, and shares are not computed for each request.
#[test]
fn update_ten_thousand_customers() {
    let bytes = size_of::<(CustomerId, CustomerUse)>() * MAX_CUSTOMERS;
    assert!(bytes <= 2 * 1024 * 1024, "{bytes}");
    let start = Instant::now();
    let mut shares = CustomerShares::new(start);
    let mut updates = std::collections::BTreeSet::new();
    for i in 0..100_000u32 {
        let now = start + Duration::from_micros(100) * i;
        shares.record_sent(now, u64::from(i % 10_000), work(10));
        shares.record_ended(u64::from(i % 10_000), work(10));
        updates.insert(shares.updated_at);
    }
    assert_eq!(shares.customers.len(), 10_000);
    assert!(
        updates.len() <= 60,
        "{} computations in 10 s",
        updates.len()
    );
    let now = start + Duration::from_secs(11);
    for unknown in 0..100_000 {
        shares.record_sent(now, u64::MAX - unknown, work(10));
    }
    assert_eq!(shares.customers.len(), MAX_CUSTOMERS);
    for unknown in 0..100_000 {
        shares.record_ended(u64::MAX - unknown, work(10));
    }
    shares.record_refused(now + Duration::from_secs(60), 1, work(10));
    assert_eq!(shares.customers.len(), 1);
}

/// Another gateway reports impossible work. The other customers are served, and the reported one is after some time.
#[test]
fn record_sent_hostile_values() {
    let now = Instant::now();
    let mut shares = CustomerShares::new(now);
    for decode_share in [f64::NAN, f64::INFINITY, 1e308, -1.0] {
        let prefill = Duration::MAX;
        let hold_time = Duration::MAX;
        let work = EngineWork {
            prefill,
            decode_share,
            hold_time,
        };
        shares.record_sent(now, 1, work);
        shares.record_ended(1, work);
        shares.record_ended(1, work);
        shares.record_refused(now, 1, work);
    }
    shares.record_sent(now, 2, work(100));
    let request = ShareRequest {
        work: work(100),
        ttft_objective: OBJECTIVE,
    };
    let at = |seconds| now + Duration::from_secs(seconds);
    let refused = shares.admit(at(1), 1, &request, |_| OBJECTIVE);
    assert!(refused.unwrap_err().retry_after <= MAX_RETRY_AFTER);
    assert!(shares.admit(at(1), 2, &request, |_| OBJECTIVE).is_ok());
    assert!(shares.admit(at(60), 1, &request, |_| OBJECTIVE).is_ok());
}

/// Equal customers, and a sole one, may fill the engines up to the limits that apply without customers.
#[test]
fn admit_equal_customers() {
    let now = Instant::now();
    let request = ShareRequest {
        work: work(100),
        ttft_objective: OBJECTIVE,
    };
    for customers in [1, 2] {
        let mut shares = CustomerShares::new(now);
        for i in 0..20 {
            let now = now + Duration::from_millis(100) * i;
            for customer in 0..customers {
                let standing = shares.admit(now, customer, &request, |_| OBJECTIVE * 2);
                assert_eq!(standing, Ok(Standing::WithinShare));
                shares.record_sent(now, customer, work(500));
            }
        }
    }
}

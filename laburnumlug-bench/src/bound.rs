//! Upper bound on the goodput, from a fluid model of the fleet.

use std::time::Duration;

use laburnumlug::Role;
use laburnumlug_standin::TimingModel;

use crate::trace::{Request, Trace};

/// Length of a time slot of the fluid schedule.
const SLOT_LENGTH: Duration = Duration::from_secs(1);

/// Largest decode batch of an engine, at which it generates the most tokens per second.
const MAX_BATCH: usize = 64;

/// Returns how many requests an ideal fleet could complete in time, as a fractional number.
///
/// The ideal fleet is a fluid model: each engine works at the full rate of the role that suits the work with its
/// largest batch, changes roles instantly, has all shared prompt tokens in its cache, and knows all requests
/// in advance. Requests may be split into parts that run on any engines in parallel, and a fraction of a request
/// counts as that fraction of a completed request. No real policy can do better.
///
/// # Algorithm
///
/// The amounts of work that the requests can receive before their deadlines form a polymatroid, so serving the
/// cheapest request first is optimal. Capacity is checked on every interval of whole slots; times are rounded
/// so that no request loses a slot.
pub fn fluid_bound(trace: &Trace) -> f64 {
    let model = TimingModel::default();
    let mut requests: Vec<(f64, &Request)> = trace
        .requests
        .iter()
        .filter(|req| is_feasible(&model, req))
        .map(|req| (min_engine_seconds(&model, req), req))
        .collect();
    requests.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut schedule = Schedule::new(trace);
    requests
        .into_iter()
        .map(|(cost, req)| schedule.reserve(req, cost) / cost)
        .sum()
}

/// Returns whether an idle engine could complete the request in time.
fn is_feasible(model: &TimingModel, req: &Request) -> bool {
    let prefill = req.unique_tokens as f64 / model.prefill_rate(Role::Prefill);
    let decode = req.completion_tokens as f64 / model.decode_rate(Role::Decode, 1, false);
    prefill + decode <= req.deadline.as_secs_f64()
}

/// Returns the minimum engine seconds that a request needs.
fn min_engine_seconds(model: &TimingModel, req: &Request) -> f64 {
    let prefill = req.unique_tokens as f64 / model.prefill_rate(Role::Prefill);
    let rate = model.decode_rate(Role::Decode, MAX_BATCH, false) * MAX_BATCH as f64;
    prefill + req.completion_tokens as f64 / rate
}

/// Work reserved within each interval of slots.
struct Schedule {
    slots: usize,
    /// Cumulative engine seconds from the start of the run to the start of each slot, and to the end of the last.
    capacity: Vec<f64>,
    /// Engine seconds reserved for requests whose time span lies within the slots `from..to`, at index
    /// `from * (slots + 1) + to`.
    reserved: Vec<f64>,
}

impl Schedule {
    fn new(trace: &Trace) -> Schedule {
        let end = trace.requests.iter().map(Request::due).max();
        let slots = end_slot(end.unwrap_or_default());
        let mut capacity = vec![0.0; slots + 1];
        for slot in 0..slots {
            let engines = trace.engines_at(SLOT_LENGTH * slot as u32);
            capacity[slot + 1] = capacity[slot] + engines as f64 * SLOT_LENGTH.as_secs_f64();
        }
        Schedule {
            slots,
            capacity,
            reserved: vec![0.0; (slots + 1) * (slots + 1)],
        }
    }

    /// Reserves as much of `work` as fits and returns the reserved amount, both in engine seconds.
    fn reserve(&mut self, req: &Request, work: f64) -> f64 {
        let first = (req.arrival.as_secs_f64() / SLOT_LENGTH.as_secs_f64()) as usize;
        let last = end_slot(req.due());
        let mut available = work;
        for from in 0..=first {
            for to in last..=self.slots {
                let capacity = self.capacity[to] - self.capacity[from];
                available = available.min(capacity - self.reserved[from * (self.slots + 1) + to]);
            }
        }
        let available = available.max(0.0);
        for from in 0..=first {
            for to in last..=self.slots {
                self.reserved[from * (self.slots + 1) + to] += available;
            }
        }
        available
    }
}

fn end_slot(time: Duration) -> usize {
    (time.as_secs_f64() / SLOT_LENGTH.as_secs_f64()).ceil() as usize
}

#[cfg(test)]
mod tests {
    use super::*;

    fn request(arrival: u64, deadline: u64, unique_tokens: u64) -> Request {
        Request {
            arrival: Duration::from_secs(arrival),
            caller: "a".into(),
            topic: "t".into(),
            shared_tokens: 0,
            unique_tokens,
            completion_tokens: 1,
            max_tokens: 1,
            deadline: Duration::from_secs(deadline),
            prompt_id: 0,
        }
    }

    fn trace(engines: usize, requests: Vec<Request>) -> Trace {
        Trace {
            engines,
            requests,
            faults: Vec::new(),
        }
    }

    #[test]
    fn fluid_bound_empty() {
        assert_eq!(fluid_bound(&trace(1, Vec::new())), 0.0);
    }

    #[test]
    fn fluid_bound_everything_fits() {
        let bound = fluid_bound(&trace(1, vec![request(0, 10, 8000), request(0, 10, 8000)]));
        assert!((bound - 2.0).abs() < 1e-9);
    }

    #[test]
    fn fluid_bound_overload() {
        // Two seconds of one engine for four requests of about one second each.
        let bound = fluid_bound(&trace(1, vec![request(0, 2, 7990); 4]));
        assert!((1.9..2.1).contains(&bound), "{bound}");
    }

    #[test]
    fn fluid_bound_impossible_deadline() {
        assert_eq!(fluid_bound(&trace(9, vec![request(0, 1, 80_000)])), 0.0);
    }

    #[test]
    fn fluid_bound_later_capacity_is_no_help() {
        let requests = vec![request(0, 1, 7000), request(0, 1, 7000), request(50, 9, 10)];
        let bound = fluid_bound(&trace(1, requests));
        assert!((2.0..2.3).contains(&bound), "{bound}");
    }
}

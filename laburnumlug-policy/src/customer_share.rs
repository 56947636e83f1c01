//! Shares of customers in the engines of a service, kept while there is too little room for the requests of all.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use laburnumlug::CustomerId;

use crate::customer_use::{CustomerUse, EngineWork};
use crate::fair_level::fair_level;

/// Shortest time between two computations of the shares.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Additional time between two computations for each customer, which bounds the share of processor time that they take.
const UPDATE_INTERVAL_PER_CUSTOMER: Duration = Duration::from_micros(20);

/// Part of the engines in use that is taken from the customers with the most use. Without it, the shares of engines that
/// are not full would be what each customer uses, and nobody would be above its share before requests are refused.
const RESERVED_PART: f64 = 0.05;

/// Multiple of the mean use up to which no customer is above its share, so that a sole customer, and equal ones, may fill
/// the engines.
const MAX_MULTIPLE_OF_MEAN: f64 = 1.25;

/// Part of the latency objective for which requests of a customer just above its share may wait. The rest is left to the
/// others; engines with a queue of this length are never idle.
const MAX_WAIT_PART: f64 = 0.5;

/// Largest multiple of the share that shortens that time further, so that an engine without a queue takes any request.
const MAX_EXCESS: f64 = 5.0;

/// How often a customer is served at least, relative to all requests. Customers are promised a quarter; the margin covers
/// requests that are refused for other reasons.
const MIN_SERVED_RATIO: f64 = 0.25;

/// Time after the last refusal for which a service counts as short of engines.
const SHORTAGE_TIME: Duration = Duration::from_secs(5);

/// Maximum number of customers that are tracked; of the others, no request is limited.
const MAX_CUSTOMERS: usize = 16_384;

/// Maximum time after which a refused request is told to return.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// A request of a customer as an input of [`CustomerShares::admit`].
#[derive(Clone, Copy, Debug)]
pub struct ShareRequest {
    /// Predicted engine work.
    pub work: EngineWork,
    /// Latency objective for the time to first token.
    pub ttft_objective: Duration,
}

/// Relation of a customer's use to its share, for an admitted request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// The request is placed like those of deployments without customers.
    WithinShare,
    /// There is too little room, and the customer is above its share: requests of others go first.
    AboveShare,
}

/// Error of [`CustomerShares::admit`]: the room that is left is reserved for customers below their shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareExceeded {
    /// Multiple of its share that the customer uses.
    pub excess: f64,
    /// Time until a request of the customer is predicted to be admitted.
    pub retry_after: Duration,
}

/// Use of the engines of one service by each customer, over all gateways, and the shares that follow from it.
#[derive(Clone, Debug)]
pub struct CustomerShares {
    customers: HashMap<CustomerId, CustomerUse>,
    /// Number of gateways over which the requests of each customer are spread.
    gateways: f64,
    updated_at: Instant,
    /// When the last request was refused for lack of room, or for its customer's share.
    refused_at: Option<Instant>,
    /// Engines that each customer may use, by max-min fairness.
    level: f64,
    /// Engines that all customers use now.
    in_use: f64,
    /// Engines that the customers would use if nothing were refused.
    offered: f64,
    /// Part of the work that customers offer which is served.
    served_part: f64,
    above_share: usize,
    /// Demands of the customers, kept to reuse the memory.
    demands: Vec<f64>,
}

impl CustomerShares {
    /// Creates shares without any use.
    pub fn new(now: Instant) -> CustomerShares {
        CustomerShares {
            customers: HashMap::new(),
            gateways: 1.0,
            updated_at: now,
            refused_at: None,
            level: f64::INFINITY,
            in_use: 0.0,
            offered: 0.0,
            served_part: 1.0,
            above_share: 0,
            demands: Vec::new(),
        }
    }

    /// Sets the number of gateways. Each knows what all of them send, but only what it refuses itself, and assumes that the
    /// others refuse as much.
    pub fn set_gateways(&mut self, gateways: usize) {
        self.gateways = gateways.max(1) as f64;
    }

    /// Records that a gateway sends a request of a customer to an engine.
    pub fn record_sent(&mut self, now: Instant, customer: CustomerId, work: EngineWork) {
        self.update(now);
        if let Some(customer) = self.entry(customer) {
            let before = customer.in_use();
            customer.begin(work);
            self.in_use += customer.in_use() - before;
        }
    }

    /// Records that a request that [`CustomerShares::record_sent`] has recorded with this work has ended.
    pub fn record_ended(&mut self, customer: CustomerId, work: EngineWork) {
        if let Some(customer) = self.customers.get_mut(&customer) {
            let before = customer.in_use();
            customer.end(work);
            self.in_use += customer.in_use() - before;
        }
    }

    /// Records that no engine has room for a request.
    pub fn record_refused(&mut self, now: Instant, customer: CustomerId, work: EngineWork) {
        self.update(now);
        self.refused_at = Some(now);
        let gateways = self.gateways;
        if let Some(customer) = self.entry(customer) {
            customer.refuse(work, gateways);
        }
    }

    /// Decides whether a customer's request may be placed now.
    ///
    /// `wait` is called only for a customer above its share, with the number of engines that the other customers need, or
    /// 1 if the prompt is so short that it does not delay them beyond the objective. It returns the predicted time until
    /// that many engines are free, besides one for the request if the prompt is long.
    ///
    /// # Errors
    ///
    /// Returns [`ShareExceeded`] if the customer is above its share and the wait leaves too little of the latency
    /// objective to the requests of the others. The larger the excess, the shorter the wait up to which its requests are
    /// admitted, so that the customer with the largest use yields first.
    pub fn admit<F>(
        &mut self,
        now: Instant,
        customer: CustomerId,
        request: &ShareRequest,
        wait: F,
    ) -> Result<Standing, ShareExceeded>
    where
        F: FnOnce(usize) -> Duration,
    {
        let Some(excess) = self.excess(now, customer) else {
            return Ok(Standing::WithinShare);
        };
        let max_wait_part = MAX_WAIT_PART / excess.min(MAX_EXCESS);
        let max_wait = request.ttft_objective.mul_f64(max_wait_part);
        let wait = wait(self.engines_to_leave(customer, request));
        if wait <= max_wait {
            return Ok(match self.is_short(now) {
                true => Standing::AboveShare,
                false => Standing::WithinShare,
            });
        }
        self.refused_at = Some(now);
        let min_part = MIN_SERVED_RATIO * self.served_part;
        let (level, gateways) = (self.level, self.gateways);
        let Some(customer) = self.entry(customer) else {
            return Ok(Standing::WithinShare);
        };
        let is_in_time = wait <= request.ttft_objective;
        if customer.try_spend_credit(request.work, min_part, is_in_time) {
            return Ok(Standing::WithinShare);
        }
        customer.refuse(request.work, gateways);
        let rate = level.max(min_part * customer.demand()) / gateways;
        let retry_after = customer.next_turn(now, wait - max_wait, request.work, rate);
        Err(ShareExceeded {
            excess,
            retry_after: retry_after.min(MAX_RETRY_AFTER),
        })
    }

    /// Returns the number of customers above their shares while requests are refused, and zero otherwise.
    pub fn customers_above_share(&mut self, now: Instant) -> usize {
        self.update(now);
        match self.is_short(now) {
            true => self.above_share,
            false => 0,
        }
    }

    /// Returns whether requests were refused recently.
    pub fn is_short(&self, now: Instant) -> bool {
        let since = self.refused_at.map(|at| now.saturating_duration_since(at));
        since.is_some_and(|since| since < SHORTAGE_TIME)
    }

    /// Returns by which factor a customer's use exceeds its share, or `None` if it does not.
    pub fn excess(&mut self, now: Instant, customer: CustomerId) -> Option<f64> {
        self.update(now);
        let in_use = self.customers.get(&customer)?.in_use();
        self.is_above_share(in_use)
            .then(|| in_use / self.level.max(f64::MIN_POSITIVE))
    }

    /// Returns how many engines have to be free for a request of a customer above its share.
    ///
    /// Engines prefill one prompt after another, so a long prompt blocks one for longer than the others may wait.
    fn engines_to_leave(&self, customer: CustomerId, request: &ShareRequest) -> usize {
        let is_long = request.work.prefill > request.ttft_objective.mul_f64(MAX_WAIT_PART);
        let own = self
            .customers
            .get(&customer)
            .map_or(0.0, CustomerUse::demand);
        match is_long {
            true => 2 + (self.offered - own).max(0.0).ceil() as usize,
            false => 1,
        }
    }

    fn is_above_share(&self, in_use: f64) -> bool {
        let mean = self.in_use / self.customers.len().max(1) as f64;
        in_use > self.level && in_use > mean * MAX_MULTIPLE_OF_MEAN
    }

    /// Returns a customer's use, or `None` if it is new and too many others are tracked.
    fn entry(&mut self, customer: CustomerId) -> Option<&mut CustomerUse> {
        let is_full = self.customers.len() >= MAX_CUSTOMERS;
        match is_full && !self.customers.contains_key(&customer) {
            true => None,
            false => Some(self.customers.entry(customer).or_default()),
        }
    }

    /// Lets the recorded work decay, forgets idle customers and computes the shares, unless that was done recently.
    fn update(&mut self, now: Instant) {
        let customers = u32::try_from(self.customers.len()).unwrap_or(u32::MAX);
        let interval = MIN_UPDATE_INTERVAL + UPDATE_INTERVAL_PER_CUSTOMER * customers;
        let elapsed = now.saturating_duration_since(self.updated_at);
        if elapsed < interval && self.level.is_finite() {
            return;
        }
        self.updated_at = now;
        let max_rate = match self.is_short(now) {
            true => self.level,
            false => f64::INFINITY,
        };
        self.customers.retain(|_, customer| {
            customer.decay(elapsed, max_rate);
            !customer.is_idle()
        });
        let customers = self.customers.values();
        self.in_use = customers.clone().map(CustomerUse::in_use).sum();
        self.demands.clear();
        self.demands
            .extend(customers.clone().map(CustomerUse::demand));
        self.offered = self.demands.iter().sum();
        self.level = fair_level(&mut self.demands, self.in_use * (1.0 - RESERVED_PART));
        self.served_part = match self.offered > 0.0 {
            true => self.in_use / self.offered,
            false => 1.0,
        };
        let above = customers.filter(|customer| self.is_above_share(customer.in_use()));
        self.above_share = above.count();
    }
}

#[cfg(test)]
#[path = "customer_share_tests.rs"]
mod tests;

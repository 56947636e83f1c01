//! Order in which targets are asked.

use std::net::SocketAddr;
use std::time::Instant;

use laburnumlug::{Role, ServiceName, Target, TargetName, TargetState};
use laburnumlug_policy::{Candidate, PrefixHashes, RouteQuery, router, select_subset};

use super::Entry;
use super::dispatch::Job;
use crate::fleet_watch::FleetView;

/// Most targets of one service that one entry sends requests to.
const SUBSET_SIZE: usize = 24;

/// What routing knows of a generated answer.
#[derive(Debug)]
pub(super) struct Shape {
    pub(super) prompt: PrefixHashes,
    pub(super) prompt_tokens: u64,
    pub(super) max_tokens: u64,
}

impl Entry {
    /// Returns a service's targets that take work, the best first and those in `avoid` last.
    pub(super) fn ranked_targets(
        &self,
        now: Instant,
        fleet: &FleetView,
        job: &Job,
        avoid: &[TargetName],
    ) -> Vec<(TargetName, SocketAddr)> {
        let targets = self.subset(fleet, &job.service);
        let candidates: Vec<Candidate> = targets
            .iter()
            .map(|(target, _)| self.candidate(job, target))
            .collect();
        let service = fleet.service(&job.service);
        let policy = service
            .and_then(|service| service.policy.clone())
            .unwrap_or_default();
        let order = router(&policy).rank(now, &self.query(job), &candidates);
        let (last, first): (Vec<usize>, Vec<usize>) = order
            .into_iter()
            .partition(|i| avoid.contains(&targets[*i].0.name));
        first
            .into_iter()
            .chain(last)
            .map(|i| (targets[i].0.name.clone(), targets[i].1))
            .collect()
    }

    /// Returns this entry's share of a service's targets.
    fn subset<'a>(
        &self,
        fleet: &'a FleetView,
        service: &ServiceName,
    ) -> Vec<(&'a Target, SocketAddr)> {
        let targets: Vec<(&Target, SocketAddr)> = fleet
            .document
            .targets
            .iter()
            .filter(|target| target.service == *service && target.state == TargetState::Serving)
            .filter_map(|target| Some((target, target.address.parse().ok()?)))
            .collect();
        let names: Vec<&TargetName> = targets.iter().map(|(target, _)| &target.name).collect();
        select_subset(&self.settings.process.vm, &names, SUBSET_SIZE)
            .into_iter()
            .map(|i| targets[i])
            .collect()
    }

    fn query(&self, job: &Job) -> RouteQuery {
        let query = RouteQuery::new(&self.settings.process.zone, job.pieces);
        match &job.shape {
            Some(shape) => {
                let answer_tokens =
                    self.hints
                        .answer_tokens(&job.service, &job.caller, shape.max_tokens);
                query.tokens(shape.prompt_tokens, answer_tokens)
            }
            None => query,
        }
    }

    fn candidate(&self, job: &Job, target: &Target) -> Candidate {
        let known = self.loads.known(&target.name);
        let prompt = job.shape.as_ref().map(|shape| &shape.prompt);
        let matched = prompt.map(|prompt| self.hints.matched_tokens(&target.name, prompt));
        Candidate::new(&target.name, &target.zone)
            .role(target.role.unwrap_or(Role::Mixed))
            .outstanding_pieces(known.outstanding_pieces())
            .capacity_pieces(u64::from(target.capacity_pieces.get()))
            .load(known.reported(), known.prompt_tokens_since)
            .matched_tokens(matched.unwrap_or(0))
    }
}

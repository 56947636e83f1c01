//! Ranking of the targets that a request is offered to.

use std::net::SocketAddr;
use std::time::Instant;

use laburnumlug::{Role, ServiceName, Target, TargetName, TargetState};
use laburnumlug_policy::{Candidate, PrefixHashes, RouteQuery, router, select_subset};

use super::Entry;
use super::dispatch::RequestContext;
use crate::fleet_watch::FleetView;

/// Maximum number of targets of one service that one entry sends requests to.
const SUBSET_SIZE: usize = 24;

/// Prompt and output limit of a completion, as routing needs them.
#[derive(Debug)]
pub(super) struct CompletionShape {
    pub(super) prompt: PrefixHashes,
    pub(super) prompt_tokens: u64,
    pub(super) max_tokens: u64,
}

impl Entry {
    /// Returns a service's serving targets, best first and those in `avoided_targets` last.
    pub(super) fn ranked_targets(
        &self,
        now: Instant,
        fleet: &FleetView,
        context: &RequestContext,
        avoided_targets: &[TargetName],
    ) -> Vec<(TargetName, SocketAddr)> {
        let targets = self.target_subset(fleet, &context.service);
        let candidates: Vec<Candidate> = targets
            .iter()
            .map(|(target, _)| self.candidate(context, target))
            .collect();
        let service = fleet.service(&context.service);
        let policy = service
            .and_then(|service| service.policy.clone())
            .unwrap_or_default();
        let order = router(&policy).rank(now, &self.route_query(context), &candidates);
        let (avoided, preferred): (Vec<usize>, Vec<usize>) = order
            .into_iter()
            .partition(|i| avoided_targets.contains(&targets[*i].0.name));
        preferred
            .into_iter()
            .chain(avoided)
            .map(|i| (targets[i].0.name.clone(), targets[i].1))
            .collect()
    }

    /// Returns at most [`SUBSET_SIZE`] of a service's serving targets, selected by the name of this entry's VM.
    fn target_subset<'a>(
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

    fn route_query(&self, context: &RequestContext) -> RouteQuery {
        let query = RouteQuery::new(&self.settings.process.zone, context.pieces);
        match &context.shape {
            Some(shape) => {
                let answer_tokens = self.hints.predicted_answer_tokens(
                    &context.service,
                    &context.caller,
                    shape.max_tokens,
                );
                query.tokens(shape.prompt_tokens, answer_tokens)
            }
            None => query,
        }
    }

    fn candidate(&self, context: &RequestContext, target: &Target) -> Candidate {
        let estimate = self.loads.estimate(&target.name);
        let prompt = context.shape.as_ref().map(|shape| &shape.prompt);
        let matched = prompt.map(|prompt| self.hints.matched_tokens(&target.name, prompt));
        Candidate::new(&target.name, &target.zone)
            .role(target.role.unwrap_or(Role::Mixed))
            .outstanding_pieces(estimate.outstanding_pieces())
            .capacity_pieces(u64::from(target.capacity_pieces.get()))
            .load(
                estimate.reported_load(),
                estimate.prompt_tokens_since_report,
            )
            .matched_tokens(matched.unwrap_or(0))
    }
}

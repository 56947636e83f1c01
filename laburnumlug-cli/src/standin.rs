//! The command `standin`: runs simulated engines and booking services in a process of its own.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Context, Result, eyre};
use futures_util::future::{Either, select};
use laburnumlug_standin::{BookingStandIn, BookingTiming, EngineStandIn, EngineTiming};

use crate::args::StandInArgs;

const SIGTERM: i32 = 15;

/// Runs the simulated engines and services until SIGTERM or Ctrl-C.
pub(crate) async fn run(args: StandInArgs) -> Result<()> {
    let timing = EngineTiming::instant()
        .prefill_tokens_per_second(args.prefill_rate)
        .token_time(Duration::from_millis(args.token_ms));
    let mut engines = Vec::new();
    for addr in parse_addresses(&args.engines)? {
        let engine = EngineStandIn::start(addr, timing.clone()).await;
        engines.push(engine.wrap_err_with(|| format!("cannot listen on {addr}"))?);
    }
    let mut services = Vec::new();
    for addr in parse_addresses(&args.services)? {
        let service = BookingStandIn::start(addr, BookingTiming::default()).await;
        services.push(service.wrap_err_with(|| format!("cannot listen on {addr}"))?);
    }
    println!(
        "ready: {} engines, {} services",
        engines.len(),
        services.len()
    );
    let terminate = std::pin::pin!(compio::signal::unix::signal(SIGTERM));
    let interrupt = std::pin::pin!(compio::signal::ctrl_c());
    match select(terminate, interrupt).await {
        Either::Left((result, _)) => result?,
        Either::Right((result, _)) => result?,
    }
    Ok(())
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>> {
    text.split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
        .map(|item| {
            item.parse()
                .map_err(|_| eyre!("invalid listen address {item:?}; expected IP:PORT"))
        })
        .collect()
}

use std::rc::Rc;

use super::*;
use crate::fake_control::{bind, fleet, mesh_settings, serve};

fn client(control: &[SocketAddr]) -> ControlClient {
    let mesh = mesh_settings(control);
    ControlClient::new(mesh.key.clone(), FleetWatch::start(&mesh))
}

fn command() -> NodeCommand {
    NodeCommand::FinishWeightLoad {
        target: "skriver-1".into(),
    }
}

/// Starts a control process that holds no replica and knows `replicas`, and returns its address and the number of commands that
/// it has refused.
async fn start_without_replica(replicas: &[SocketAddr]) -> (SocketAddr, Rc<Cell<usize>>) {
    let (listener, addr) = bind().await;
    let replicas = replicas.to_vec();
    let refused = Rc::new(Cell::new(0));
    let count = refused.clone();
    serve(listener, move |request| {
        if matches!(request, ControlMessage::Submit { .. }) {
            count.set(count.get() + 1);
        }
        let replicas = replicas.clone();
        Some(ControlMessage::Referral { replicas })
    });
    (addr, refused)
}

/// Guards against commands that never reach a replica because the settings name only a process without one.
#[test]
fn submit_after_referral() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (listener, replica) = bind().await;
        let submitted = Rc::new(Cell::new(0));
        let count = submitted.clone();
        serve(listener, move |request| match request {
            ControlMessage::Submit { .. } => {
                count.set(count.get() + 1);
                Some(ControlMessage::Outcome(NodeOutcome::WeightLoadFinished))
            }
            _ => Some(fleet(replica, &[replica])),
        });
        let (seed, refused) = start_without_replica(&[replica]).await;
        let client = client(&[seed]);
        for number in 1..=3 {
            let deadline = Instant::now() + Duration::from_secs(2);
            let outcome = client.submit(deadline, command()).await;
            assert_eq!(outcome.unwrap(), NodeOutcome::WeightLoadFinished);
            assert_eq!(submitted.get(), number);
        }
        assert!(refused.get() <= 1, "{} commands", refused.get());
    });
}

/// A command that a replica may have logged may have run, although processes without a replica refuse it before and after.
#[test]
fn submit_verdict_with_referrals() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (seed, _) = start_without_replica(&[]).await;
        let deadline = Instant::now() + Duration::from_millis(300);
        let err = client(&[seed]).submit(deadline, command()).await;
        assert_eq!(err.unwrap_err().verdict(), Verdict::NotRun);
        let (listener, replica) = bind().await;
        serve(listener, move |request| match request {
            ControlMessage::Submit { .. } => None,
            _ => Some(fleet(replica, &[replica])),
        });
        let (seed, _) = start_without_replica(&[replica]).await;
        let deadline = Instant::now() + Duration::from_millis(500);
        let err = client(&[seed]).submit(deadline, command()).await;
        assert_eq!(err.unwrap_err().verdict(), Verdict::MayHaveRun);
    });
}

#[test]
fn next_replica_in_rounds() {
    let addr = |number| SocketAddr::from(([10, 0, 0, number], 7410));
    let mut tried = Vec::new();
    assert_eq!(next_replica(&[], &mut tried), None);
    let replicas = [addr(1), addr(2)];
    for expected in [1, 2, 1, 2] {
        assert_eq!(next_replica(&replicas, &mut tried), Some(addr(expected)));
    }
    // The list may change within a round.
    let replicas = [addr(3), addr(2), addr(1)];
    for expected in [3, 2, 3, 1] {
        assert_eq!(next_replica(&replicas, &mut tried), Some(addr(expected)));
    }
}

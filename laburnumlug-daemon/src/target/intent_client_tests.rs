use laburnumlug::{Role, TargetState};
use quickcheck::quickcheck;

use super::*;
use crate::fake_control::{bind, fleet, mesh_settings, serve, voting_status};

fn intent(generation: FencingToken) -> Intent {
    Intent {
        generation,
        service: "skriver".into(),
        role: Role::Mixed,
        models: Vec::new(),
        adapters: Vec::new(),
        state: TargetState::Serving,
    }
}

#[test]
fn permits_order_after_freeze() {
    let requested_at = Instant::now();
    let intent = intent(1);
    let confirmed = ConfirmedIntent {
        intent,
        requested_at,
    };
    assert!(confirmed.permits_order(requested_at + MAX_CONFIRMATION_AGE));
    let resumed_at = requested_at + MAX_CONFIRMATION_AGE + Duration::from_millis(1);
    assert!(!confirmed.permits_order(resumed_at));
}

quickcheck! {
    /// Answers of lagging replicas, in any order, never replace a newer intent by an older one.
    fn merge_is_monotone(answers: Vec<(u8, bool)>) -> bool {
        let mut view = IntentView::default();
        for (applied_change, omitted) in answers {
            let before = (view.applied_change, view.generation());
            let applied_change = u64::from(applied_change);
            // Every third change has a new generation of this target's intent.
            view.merge(applied_change, (!omitted).then(|| intent(applied_change / 3)));
            let after = (view.applied_change, view.generation());
            if after.0 < before.0 || after.1 < before.1 {
                return false;
            }
        }
        true
    }
}

/// Guards against a target that never gets its intent because its settings name only a process without a replica.
#[test]
fn fetch_confirmed_after_referral() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let mut replicas = Vec::new();
        for _ in 0..3 {
            replicas.push(bind().await);
        }
        let voters: Vec<SocketAddr> = replicas.iter().map(|(_, addr)| *addr).collect();
        let referred = vec![voters[0]];
        for (listener, own) in replicas {
            let voters = voters.clone();
            serve(listener, move |request| match request {
                ControlMessage::FetchIntent { .. } => Some(ControlMessage::Intent {
                    voting_status: voting_status(own, &voters),
                    logged_change: 1,
                    applied_change: 1,
                    intent: Some(intent(1)),
                }),
                _ => Some(fleet(own, &voters)),
            });
        }
        let (listener, seed) = bind().await;
        serve(listener, move |_| {
            let replicas = referred.clone();
            Some(ControlMessage::Referral { replicas })
        });
        let mesh = mesh_settings(&[seed]);
        let fleet = FleetWatch::start(&mesh);
        let mut client = IntentClient::new(mesh.key.clone(), fleet, "skriver-1");
        let start = Instant::now();
        let confirmed = loop {
            if let Some(confirmed) = client.fetch_confirmed().await {
                break confirmed;
            }
            assert!(start.elapsed() < Duration::from_secs(2));
            compio::time::sleep(Duration::from_millis(50)).await;
        };
        assert_eq!(confirmed.intent.generation, 1);
    });
}

use laburnumlug_mesh::ControlMessage;

use super::*;
use crate::fake_control::{bind, fleet, mesh_settings, serve};

/// Waits until a majority confirms the view.
async fn wait_until_confirmed(watch: &FleetWatch) {
    let start = Instant::now();
    while watch.current(Instant::now()).is_none() {
        assert!(start.elapsed() < Duration::from_secs(2));
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a gateway that never serves because its settings name only a process without a replica, which knows one of
/// three voters.
#[test]
fn poll_replica_follows_referral() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (seed_listener, seed) = bind().await;
        let mut voters = Vec::new();
        let mut listeners = Vec::new();
        for _ in 0..3 {
            let (listener, addr) = bind().await;
            voters.push(addr);
            listeners.push(listener);
        }
        for (listener, own) in listeners.into_iter().zip(voters.clone()) {
            let voters = voters.clone();
            serve(listener, move |_| Some(fleet(own, &voters)));
        }
        let replicas = vec![voters[2]];
        serve(seed_listener, move |_| {
            let replicas = replicas.clone();
            Some(ControlMessage::Referral { replicas })
        });
        let watch = FleetWatch::start(&mesh_settings(&[seed]));
        wait_until_confirmed(&watch).await;
        let found = watch.replicas(Instant::now(), None);
        assert!(!found.contains(&seed), "{found:?}");
        assert!(voters.iter().all(|voter| found.contains(voter)));
    });
}

/// Guards against seeds that are read only at the start, after all of the former ones have ended.
#[test]
fn set_seeds_while_none_answers() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (lost_listener, lost) = bind().await;
        drop(lost_listener);
        let (listener, own) = bind().await;
        serve(listener, move |_| Some(fleet(own, &[own])));
        let watch = FleetWatch::start(&mesh_settings(&[lost]));
        compio::time::sleep(Duration::from_millis(200)).await;
        assert!(watch.current(Instant::now()).is_none());
        watch.set_seeds(&[own]);
        wait_until_confirmed(&watch).await;
        assert_eq!(watch.replicas(Instant::now(), None)[0], own);
    });
}

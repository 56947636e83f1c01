//! Faults of control replicas.

use rand::Rng;
use rand::rngs::StdRng;
use rustix::process::Signal;

use crate::deployment::Deployment;
use crate::platform_fleet::start_replica;

/// Fault of a control replica.
#[derive(Clone, Copy)]
enum Fault {
    Killed,
    /// Killed, and its data removed before the restart.
    Wiped,
    Frozen,
}

/// Control replica that has a fault.
pub struct ReplicaFault {
    replica: usize,
    fault: Fault,
}

impl ReplicaFault {
    /// Injects a random fault into a random replica.
    pub fn inject(deployment: &mut Deployment, rng: &mut StdRng) -> ReplicaFault {
        let replica = rng.random_range(0..deployment.cluster.replicas.len());
        let faults = [Fault::Killed, Fault::Wiped, Fault::Frozen];
        let fault = faults[rng.random_range(0..faults.len())];
        let process = &mut deployment.cluster.replicas[replica].process;
        match fault {
            Fault::Killed | Fault::Wiped => process.kill(),
            Fault::Frozen => process.signal(Signal::STOP),
        }
        ReplicaFault { replica, fault }
    }

    pub fn end(self, deployment: &mut Deployment) {
        let folder = &deployment.cluster.folder;
        let seeds = deployment.cluster.seeds();
        let replica = &deployment.cluster.replicas[self.replica];
        let (mesh_addr, operator_addr) = (replica.mesh_addr, replica.operator_addr);
        match self.fault {
            Fault::Frozen => return replica.process.signal(Signal::CONT),
            Fault::Wiped => {
                let data = folder.path().join(format!("control-{}", mesh_addr.port()));
                std::fs::remove_dir_all(data).unwrap();
            }
            Fault::Killed => {}
        }
        deployment.cluster.replicas[self.replica] =
            start_replica(folder, 1, mesh_addr, operator_addr, &seeds, false);
    }
}

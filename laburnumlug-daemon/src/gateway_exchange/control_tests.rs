use super::tests::Gateway;
use super::*;

/// Control replicas of one gateway, which records what others report.
struct RecordedReplicas {
    answering: Vec<SocketAddr>,
    reported: RefCell<Vec<SocketAddr>>,
}

impl ControlReplicas for RecordedReplicas {
    fn answering(&self, _: Instant) -> Vec<SocketAddr> {
        self.answering.clone()
    }

    fn add_reported(&self, _: Instant, replicas: &[SocketAddr]) {
        self.reported.borrow_mut().extend(replicas);
    }
}

/// Guards against a gateway that finds no control replica after a restart, although the gateways that connect to it know some.
#[test]
fn exchange_reports_control_replicas() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let replica = SocketAddr::from(([10, 0, 0, 1], 7410));
        let mut controls = Vec::new();
        let mut gateways = Vec::new();
        for answering in [vec![replica], Vec::new()] {
            let gateway = Gateway::start("zone").await;
            let control = Rc::new(RecordedReplicas {
                answering,
                reported: RefCell::default(),
            });
            gateway.exchange.set_control(control.clone());
            controls.push(control);
            gateways.push(gateway);
        }
        let listed: Vec<ListedGateway> =
            gateways.iter().map(|g| g.exchange.own_listing()).collect();
        gateways[0].exchange.set_gateways(Instant::now(), &listed);
        let start = Instant::now();
        while controls[1].reported.borrow().is_empty() {
            assert!(start.elapsed() < Duration::from_secs(5));
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(*controls[1].reported.borrow(), [replica]);
        assert!(controls[0].reported.borrow().is_empty());
    });
}

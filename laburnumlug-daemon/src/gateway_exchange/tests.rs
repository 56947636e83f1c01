use std::collections::{BTreeMap, BTreeSet};

use laburnumlug_mesh::{Connection, GatewayMessage, Message};

use super::*;

/// Time within which all gateways must have received all events.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Unfinished requests of each sender, as a gateway knows them.
type Requests = BTreeMap<u64, BTreeSet<u64>>;

/// Engine state that records unfinished requests.
#[derive(Default)]
struct RecordedState {
    own: RefCell<BTreeSet<u64>>,
    others: RefCell<Requests>,
    /// Number of events that announced an already known request.
    repeated: Cell<usize>,
}

fn sent(number: u64) -> EngineEvent {
    EngineEvent::PromptSent {
        number,
        engine: "engine".to_string(),
        work: 1,
        priority: 0,
        output_tokens: 0,
        stream: None,
        customer: None,
        parts: Vec::new(),
    }
}

impl EngineState for RecordedState {
    fn apply(&self, _: Instant, sender: u64, event: EngineEvent) {
        let mut others = self.others.borrow_mut();
        let requests = others.entry(sender).or_default();
        match event {
            EngineEvent::PromptSent { number, .. } => {
                let is_repeated = !requests.insert(number);
                self.repeated
                    .set(self.repeated.get() + usize::from(is_repeated));
            }
            EngineEvent::RequestEnded { number, .. } => {
                requests.remove(&number);
            }
            _ => {}
        }
        others.retain(|_, requests| !requests.is_empty());
    }

    fn remove_sender(&self, _: Instant, sender: u64) {
        self.others.borrow_mut().remove(&sender);
    }

    fn snapshot(&self, _: Instant, _: bool) -> Vec<EngineEvent> {
        self.own
            .borrow()
            .iter()
            .map(|number| sent(*number))
            .collect()
    }

    fn sender_snapshot(&self, sender: u64) -> Vec<EngineEvent> {
        let others = self.others.borrow();
        let requests = others.get(&sender).into_iter().flatten();
        requests.map(|number| sent(*number)).collect()
    }
}

pub(super) struct Gateway {
    pub(super) exchange: Rc<GatewayExchange>,
    state: Rc<RecordedState>,
}

impl Gateway {
    pub(super) async fn start(zone: &str) -> Gateway {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let state = Rc::<RecordedState>::default();
        let exchange = GatewayExchange::start(state.clone(), key(), zone, addr, listener);
        Gateway { exchange, state }
    }

    fn send(&self, number: u64) {
        self.state.own.borrow_mut().insert(number);
        self.exchange.publish(sent(number));
    }

    fn end(&self, number: u64) {
        self.state.own.borrow_mut().remove(&number);
        self.exchange.publish(EngineEvent::RequestEnded {
            number,
            is_complete: true,
        });
    }
}

fn key() -> MeshKey {
    MeshKey::new("key")
}

/// Starts `zone_size` gateways in each of `zones` zones.
async fn start_zones(zones: usize, zone_size: usize) -> Vec<Gateway> {
    let mut gateways = Vec::new();
    for zone in 0..zones {
        for _ in 0..zone_size {
            gateways.push(Gateway::start(&format!("zone-{zone}")).await);
        }
    }
    gateways
}

fn listings(gateways: &[Gateway]) -> Vec<ListedGateway> {
    gateways
        .iter()
        .map(|gateway| gateway.exchange.own_listing())
        .collect()
}

fn connect(gateways: &[Gateway], listings: &[ListedGateway]) {
    for gateway in gateways {
        gateway.exchange.set_gateways(Instant::now(), listings);
    }
}

/// Waits until each gateway knows the unfinished requests of all others.
async fn converge(gateways: &[Gateway]) {
    let started_at = Instant::now();
    loop {
        let unknown = gateways.iter().filter(|gateway| {
            let mut expected = Requests::new();
            for other in gateways {
                let requests = other.state.own.borrow().clone();
                if other.exchange.sender != gateway.exchange.sender && !requests.is_empty() {
                    expected.insert(other.exchange.sender, requests);
                }
            }
            *gateway.state.others.borrow() != expected
        });
        let unknown = unknown.count();
        if unknown == 0 {
            return;
        }
        assert!(
            started_at.elapsed() < CONVERGENCE_TIMEOUT,
            "{unknown} gateways do not know all requests"
        );
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn block_on<F>(test: F)
where
    F: Future<Output = ()>,
{
    compio::runtime::Runtime::new().unwrap().block_on(test);
}

/// Returns the address of the forwarder that `gateway` has selected in a zone.
fn forwarder_in(gateway: &Gateway, zone: &[ListedGateway]) -> SocketAddr {
    let links = gateway.exchange.links.borrow();
    let forwarders = links.values().filter(|link| link.route.forwards);
    let mut addrs = forwarders.map(|link| link.route.addr);
    addrs
        .find(|addr| zone.iter().any(|listing| listing.addr == *addr))
        .unwrap()
}

#[test]
fn exchange_events_reach_all_zones_once() {
    block_on(async {
        let gateways = start_zones(3, 5).await;
        connect(&gateways, &listings(&gateways));
        // Each gateway connects to 4 of its zone and to one of each other zone.
        for gateway in &gateways {
            assert_eq!(gateway.exchange.links.borrow().len(), 6);
        }
        converge(&gateways).await;
        compio::time::sleep(Duration::from_millis(200)).await;
        for (i, gateway) in gateways.iter().enumerate() {
            gateway.send(i as u64);
            gateway.send(100 + i as u64);
        }
        converge(&gateways).await;
        for (i, gateway) in gateways.iter().enumerate() {
            gateway.end(i as u64);
        }
        converge(&gateways).await;
        for gateway in &gateways {
            assert_eq!(gateway.state.repeated.get(), 0);
        }
    });
}

/// A gateway that starts while requests are in progress must learn the requests of all zones.
#[test]
fn exchange_started_gateway_learns_all_requests() {
    block_on(async {
        let mut gateways = start_zones(3, 5).await;
        connect(&gateways, &listings(&gateways));
        for (i, gateway) in gateways.iter().enumerate() {
            gateway.send(i as u64);
        }
        converge(&gateways).await;
        gateways.push(Gateway::start("zone-1").await);
        connect(&gateways, &listings(&gateways));
        converge(&gateways).await;
    });
}

/// A forwarder is removed from the list of gateways. Another one must replace it, and its own requests must be removed.
#[test]
fn exchange_forwarder_removed() {
    block_on(async {
        let mut gateways = start_zones(3, 5).await;
        connect(&gateways, &listings(&gateways));
        for (i, gateway) in gateways.iter().enumerate() {
            gateway.send(i as u64);
        }
        converge(&gateways).await;
        let zone = &listings(&gateways)[5..10];
        let lost = forwarder_in(&gateways[0], zone);
        let is_lost = |gateway: &Gateway| gateway.exchange.own_addr == lost;
        let index = gateways.iter().position(is_lost).unwrap();
        let removed = gateways.remove(index);
        removed.exchange.set_gateways(Instant::now(), &[]);
        connect(&gateways, &listings(&gateways));
        gateways[0].send(1000);
        converge(&gateways).await;
    });
}

/// A frozen forwarder accepts connections but sends no keepalives. It must be replaced without a change of the list of
/// gateways.
#[test]
fn exchange_silent_forwarder_replaced() {
    block_on(async {
        let mut gateways = start_zones(3, 5).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let silent = ListedGateway {
            addr: listener.local_addr().unwrap(),
            zone: Some("zone-1".to_string()),
        };
        let accepting = accept_connections(listener, |stream| async {
            let mut conn = Connection::accept(stream, &key()).await.unwrap();
            while conn.recv().await.is_ok() {}
        });
        compio::runtime::spawn(accepting).detach();
        let mut listed = listings(&gateways);
        listed.push(silent.clone());
        connect(&gateways, &listed);
        // Adds senders until one selects the silent gateway as its forwarder.
        let selects_silent = |gateway: &Gateway| {
            let links = gateway.exchange.links.borrow();
            let silent_link = links.get(&silent.addr);
            silent_link.is_some_and(|link| link.route.forwards)
        };
        while !gateways.iter().any(selects_silent) {
            let zone = format!("zone-{}", 2 * (gateways.len() % 2));
            gateways.push(Gateway::start(&zone).await);
            listed = listings(&gateways);
            listed.push(silent.clone());
            connect(&gateways, &listed);
        }
        for (i, gateway) in gateways.iter().enumerate() {
            gateway.send(i as u64);
        }
        let started_at = Instant::now();
        converge(&gateways).await;
        let elapsed = started_at.elapsed();
        assert!(elapsed < Duration::from_millis(2500), "{elapsed:?}");
        assert!(!gateways.iter().any(selects_silent));
    });
}

/// Events that arrive over a connection after the sender has opened a newer one must be ignored.
#[test]
fn exchange_outdated_connection_ignored() {
    block_on(async {
        let gateway = Gateway::start("zone-0").await;
        let addr = gateway.exchange.own_addr;
        let open = async |session| {
            let timeout = Duration::from_secs(1);
            let mut conn = Connection::connect(addr, &key(), timeout).await.unwrap();
            let hello = GatewayMessage::Hello {
                sender: 7,
                session,
                forwards: false,
                control: Vec::new(),
            };
            conn.send("", &Message::Gateway(hello)).await.unwrap();
            conn
        };
        let mut former = open(1).await;
        let mut newer = open(2).await;
        let events = |number| Message::Gateway(GatewayMessage::Engines(vec![sent(number)]));
        newer.send("", &events(2)).await.unwrap();
        compio::time::sleep(Duration::from_millis(100)).await;
        former.send("", &events(1)).await.unwrap();
        drop(former);
        compio::time::sleep(Duration::from_millis(100)).await;
        let expected = Requests::from([(7, BTreeSet::from([2]))]);
        assert_eq!(*gateway.state.others.borrow(), expected);
        drop(newer);
        compio::time::sleep(Duration::from_millis(100)).await;
        assert!(gateway.state.others.borrow().is_empty());
    });
}

/// Guards against a gateway that takes events which it could not receive for events that were not sent.
#[test]
fn exchange_events_missing_until_others_are_heard() {
    block_on(async {
        let gateway = Gateway::start("zone-0").await;
        let is_missing = || {
            let now = BootTime::now();
            gateway.exchange.events_missing_at(now) == Some(now)
        };
        let own = gateway.exchange.own_listing();
        let other = ListedGateway {
            addr: ([127, 0, 0, 1], 1).into(),
            ..own.clone()
        };
        assert!(!is_missing());
        connect(std::slice::from_ref(&gateway), &[own.clone(), other]);
        assert!(is_missing());
        let timeout = Duration::from_secs(1);
        let addr = own.addr;
        let mut conn = Connection::connect(addr, &key(), timeout).await.unwrap();
        let hello = GatewayMessage::Hello {
            sender: 7,
            session: 1,
            forwards: false,
            control: Vec::new(),
        };
        conn.send("", &Message::Gateway(hello)).await.unwrap();
        compio::time::sleep(Duration::from_millis(100)).await;
        assert!(is_missing());
        let alive = Message::Gateway(GatewayMessage::Engines(Vec::new()));
        conn.send("", &alive).await.unwrap();
        compio::time::sleep(Duration::from_millis(100)).await;
        assert!(!is_missing());
        compio::time::sleep(Duration::from_millis(1100)).await;
        assert!(is_missing());
        conn.send("", &alive).await.unwrap();
        compio::time::sleep(Duration::from_millis(100)).await;
        assert!(!is_missing());
        drop(conn);
        compio::time::sleep(Duration::from_millis(100)).await;
        assert!(is_missing());
        connect(std::slice::from_ref(&gateway), &[own]);
        assert!(!is_missing());
    });
}

//! Stand-in for the platform's VM list.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::net::TcpListener;
use laburnumlug_http::{Limits, Request, Response, Server, json_response, text_response};
use laburnumlug_platform::{VmId, VmList, VmRow, VmState};

#[derive(Default)]
struct State {
    rows: RefCell<Vec<VmRow>>,
    /// Queued responses to serve before the current list, each of them once.
    replays: RefCell<Vec<VmList>>,
    served: RefCell<Vec<VmList>>,
}

/// Stand-in for the platform's VM list that can also serve stale lists.
pub struct VmListStandIn {
    addr: SocketAddr,
    state: Rc<State>,
}

impl VmListStandIn {
    /// Starts serving an empty list on `addr` in the current runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(addr: SocketAddr) -> io::Result<VmListStandIn> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let state = Rc::<State>::default();
        let shared = state.clone();
        let handler = Rc::new(move |req| handle(shared.clone(), req));
        let server = Server::new(listener, Limits::default());
        compio::runtime::spawn(server.run(handler)).detach();
        Ok(VmListStandIn { addr, state })
    }

    /// Returns the address on which the list is served.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the current state of one VM.
    pub fn set(&self, id: VmId, state: VmState) {
        let mut rows = self.state.rows.borrow_mut();
        rows.retain(|row| row.id != id);
        rows.push(VmRow::new(id, state));
    }

    /// Serves each of `lists` once, in order, before serving the current list again.
    pub fn replay(&self, lists: Vec<VmList>) {
        self.state.replays.borrow_mut().extend(lists);
    }

    /// Returns the lists that were served, including replayed ones, in the order of the requests.
    pub fn served(&self) -> Vec<VmList> {
        self.state.served.borrow().clone()
    }
}

async fn handle(state: Rc<State>, req: Request) -> Response {
    if req.uri().path() != "/vms" {
        return text_response(404, "not found");
    }
    let list = {
        let mut replays = state.replays.borrow_mut();
        match replays.is_empty() {
            true => VmList {
                vms: state.rows.borrow().clone(),
            },
            false => replays.remove(0),
        }
    };
    state.served.borrow_mut().push(list.clone());
    json_response(200, &list)
}

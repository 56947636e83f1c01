//! Stand-in for a booking service.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use laburnumlug_http::{
    Limits, Request, Response, Server, ShutdownHandle, json_response, read_body, text_response,
};
use serde_json::{Value, json};

/// Maximum size of the body of `POST /reservations`; a larger one is answered with status 400.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Delays of the service and the size of its responses.
#[derive(Clone, Debug, Default)]
pub struct BookingTiming {
    queue_time: Duration,
    run_time: Duration,
    padding_bytes: usize,
}

impl BookingTiming {
    /// Sets the delay from the arrival of a call to its booking.
    pub fn queue_time(mut self, time: Duration) -> BookingTiming {
        self.queue_time = time;
        self
    }

    /// Sets the number of padding bytes in a response; 0 leaves out the padding field.
    pub fn padding_bytes(mut self, bytes: usize) -> BookingTiming {
        self.padding_bytes = bytes;
        self
    }

    /// Sets the delay from a booking to its response.
    pub fn run_time(mut self, time: Duration) -> BookingTiming {
        self.run_time = time;
        self
    }
}

/// A booking with the content that the service received.
#[derive(Clone, Debug)]
struct Booking {
    id: u64,
    content: Value,
}

struct State {
    timing: BookingTiming,
    /// Number of booking calls whose body has arrived, valid or not.
    calls: Cell<u64>,
    bookings: RefCell<Vec<Booking>>,
}

/// Stand-in for a booking service: each `POST /reservations` makes a new booking.
///
/// It does not deduplicate, so a call that runs twice can be detected.
pub struct BookingStandIn {
    addr: SocketAddr,
    state: Rc<State>,
    shutdown: ShutdownHandle,
}

impl BookingStandIn {
    /// Starts a service on `addr` in the current runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(addr: SocketAddr, timing: BookingTiming) -> io::Result<BookingStandIn> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let state = Rc::new(State {
            timing,
            calls: Cell::new(0),
            bookings: RefCell::default(),
        });
        let server = Server::new(listener, Limits::default());
        let shutdown = server.shutdown_handle();
        let shared = state.clone();
        let handler = Rc::new(move |req| handle(shared.clone(), req));
        compio::runtime::spawn(server.run(handler)).detach();
        Ok(BookingStandIn {
            addr,
            state,
            shutdown,
        })
    }

    /// Returns the address on which the service listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the contents of all bookings in the order in which they were made.
    pub fn bookings(&self) -> Vec<Value> {
        self.state
            .bookings
            .borrow()
            .iter()
            .map(|booking| booking.content.clone())
            .collect()
    }

    /// Returns the number of booking calls that have arrived, including those that have not run.
    pub fn calls(&self) -> u64 {
        self.state.calls.get()
    }

    /// Stops accepting connections and requests.
    pub fn shut_down(&self) {
        self.shutdown.shut_down();
    }
}

async fn handle(state: Rc<State>, req: Request) -> Response {
    match (req.method().as_str(), req.uri().path()) {
        ("POST", "/reservations") => handle_booking(state, req).await,
        ("GET", "/reservations") => list_bookings(&state),
        _ => text_response(404, "not found"),
    }
}

async fn handle_booking(state: Rc<State>, req: Request) -> Response {
    let body = match read_body(req.into_body(), MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(err) => return text_response(400, &err.to_string()),
    };
    state.calls.set(state.calls.get() + 1);
    let content: Value = match serde_json::from_slice(&body) {
        Ok(content) => content,
        Err(err) => return text_response(400, &err.to_string()),
    };
    // As in a real service, the work continues if the client disconnects.
    let (tx, rx) = futures_channel::oneshot::channel();
    compio::runtime::spawn(async move {
        let _ = tx.send(make_booking(&state, content).await);
    })
    .detach();
    match rx.await {
        Ok(booking) => json_response(201, &booking),
        Err(_) => text_response(500, "the booking failed"),
    }
}

/// Makes one booking and returns the response body.
async fn make_booking(state: &State, content: Value) -> Value {
    compio::time::sleep(state.timing.queue_time).await;
    let id = {
        let mut bookings = state.bookings.borrow_mut();
        let id = bookings.len() as u64 + 1;
        let content = content.clone();
        bookings.push(Booking { id, content });
        id
    };
    compio::time::sleep(state.timing.run_time).await;
    match state.timing.padding_bytes {
        0 => json!({ "id": id, "booked": content }),
        bytes => json!({ "id": id, "booked": content, "padding": "x".repeat(bytes) }),
    }
}

fn list_bookings(state: &State) -> Response {
    let bookings: Vec<Value> = state
        .bookings
        .borrow()
        .iter()
        .map(|booking| json!({ "id": booking.id, "booked": booking.content }))
        .collect();
    json_response(200, &json!({ "reservations": bookings }))
}

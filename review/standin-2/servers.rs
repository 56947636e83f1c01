//! Servers of a service, each on its own threads.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::deployment::loopback_ip;
use crate::http::{self, Message};

/// Interval at which a server looks for new connections, and whether it ends.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// Answers one request on its connection. Returns whether the connection is kept.
pub type Behaviour = Arc<dyn Fn(&mut TcpStream, &Message) -> io::Result<bool> + Send + Sync>;

/// A server that the platform lists.
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    behaviour: Behaviour,
    running: Option<Running>,
}

/// One incarnation of a server.
struct Running {
    ends: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    thread: JoinHandle<()>,
}

impl Server {
    /// Starts a server; `behaviour` answers its requests but those for its health and for another server.
    pub fn start(id: &str, behaviour: Behaviour) -> io::Result<Server> {
        let any = SocketAddr::new(loopback_ip(50), 0);
        let mut server = Server {
            id: id.to_string(),
            addr: any,
            behaviour,
            running: None,
        };
        server.start_again()?;
        Ok(server)
    }

    /// Starts a server that has ended under the id and at the address that it had.
    pub fn start_again(&mut self) -> io::Result<()> {
        let listener = TcpListener::bind(self.addr)?;
        listener.set_nonblocking(true)?;
        self.addr = listener.local_addr()?;
        let (ends, streams) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let thread = {
            let (id, behaviour) = (self.id.clone(), self.behaviour.clone());
            let (ends, streams) = (ends.clone(), Arc::clone(&streams));
            std::thread::spawn(move || accept(&listener, &id, &behaviour, &ends, &streams))
        };
        self.running = Some(Running {
            ends,
            streams,
            thread,
        });
        Ok(())
    }

    /// Ends the server and its connections.
    pub fn end(&mut self) {
        if let Some(running) = self.running.take() {
            running.ends.store(true, Ordering::SeqCst);
            let _ = running.thread.join();
            for stream in running.streams.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Returns the row of this server in the platform's list.
    pub fn row(&self, service: &str, state: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"zone-0\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"coldLeftMs\":0,\"id\":\"{}\"}}",
            self.addr, self.id
        )
    }
}

fn accept(
    listener: &TcpListener,
    id: &str,
    behaviour: &Behaviour,
    ends: &AtomicBool,
    streams: &Mutex<Vec<TcpStream>>,
) {
    while !ends.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(ACCEPT_INTERVAL);
            continue;
        };
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(handle) = stream.try_clone() {
            streams.lock().unwrap().push(handle);
        }
        let (id, behaviour) = (id.to_string(), behaviour.clone());
        std::thread::spawn(move || serve(stream, &id, &behaviour));
    }
}

fn serve(mut stream: TcpStream, name: &str, behaviour: &Behaviour) -> io::Result<()> {
    let mut rest = Vec::new();
    loop {
        let request = http::read_message(&mut stream, &mut rest)?;
        let target = request.header("x-target-instance");
        let is_named = target.is_none_or(|id| id == name);
        match request.path() {
            _ if !is_named => http::write_answer(&mut stream, 421, &[], "")?,
            "/health" => http::write_answer(&mut stream, 200, &[("X-Instance-Id", name)], "")?,
            _ if !behaviour(&mut stream, &request)? => return Ok(()),
            _ => {}
        }
    }
}

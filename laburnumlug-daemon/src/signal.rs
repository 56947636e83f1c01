//! Signals that request a graceful shutdown, and those that are ignored.
//!
//! A thread receives them, so that their handlers do nothing but wake it: a handler runs in the middle of whatever the
//! process does, and may not wake a task of the thread that it interrupts.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::mpsc;
use std::task::{Context, Poll, Wake, Waker};
use std::thread::Thread;
use std::time::{Duration, Instant};

use compio::signal::unix::signal;
use futures_channel::mpsc::{Receiver, Sender, channel};
use futures_util::StreamExt;
use laburnumlug_policy::PauseDetector;

/// Interval of the checks that tell when the process has been paused.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

/// What SIGHUP does to the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Hangup {
    /// The process goes on; its settings file is polled for changes or read at its next start.
    Ignored,
    /// The process ends, like others that a terminal has started.
    Ends,
}

/// Signal that the process has received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Received {
    Stop(StopRequest),
    Hangup,
}

/// When the process was asked to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct StopRequest {
    /// Earliest time at which the signal may have been sent; the process may have been paused since.
    pub(crate) requested_at: Instant,
    /// When the signal was delivered, which other work of the process does not delay.
    pub(crate) noticed_at: Instant,
}

/// Signals to the process, from the moment at which they are installed.
pub(crate) struct Signals {
    received: Receiver<Received>,
}

impl Signals {
    /// Installs the handlers, which stay for the life of the process.
    ///
    /// # Errors
    ///
    /// Fails when the thread that receives the signals cannot be started.
    pub(crate) fn install(hangup: Hangup) -> io::Result<Signals> {
        let (installed, is_installed) = mpsc::channel();
        let (tx, rx) = channel(0);
        std::thread::Builder::new()
            .name("signals".to_string())
            .spawn(move || receive(hangup, &installed, tx))?;
        // The thread sends before it does anything that may fail.
        let _ = is_installed.recv();
        Ok(Signals { received: rx })
    }

    /// Waits for SIGTERM or Ctrl-C.
    ///
    /// Further SIGTERMs have no effect, while a second Ctrl-C terminates the process.
    pub(crate) async fn stop_requested(&mut self) -> StopRequest {
        loop {
            match self.received.next().await {
                Some(Received::Stop(request)) => return request,
                Some(Received::Hangup) => {
                    log::info!("ignored SIGHUP: a changed settings file is read without it");
                }
                // The thread that sends does not end before the process.
                None => std::future::pending().await,
            }
        }
    }
}

/// Receives signals until the process ends, and sends a value to `installed` once the handlers are in place.
fn receive(hangup: Hangup, installed: &mpsc::Sender<()>, mut stops: Sender<Received>) {
    let waker = Waker::from(Arc::new(ThreadWaker(std::thread::current())));
    let mut cx = Context::from_waker(&waker);
    let mut term = Listener::new(SIGTERM, &mut cx);
    let mut hangups = match hangup {
        Hangup::Ignored => Some(Listener::new(SIGHUP, &mut cx)),
        Hangup::Ends => None,
    };
    let mut interrupt: Option<SignalFuture> = Some(Box::pin(signal(SIGINT)));
    // Each sender has room for one message, so that SIGHUPs cannot keep a request to stop from being sent.
    let mut ignored = stops.clone();
    let mut is_stopping = false;
    let mut pauses = PauseDetector::new(Instant::now(), CHECK_INTERVAL);
    loop {
        let is_interrupted = interrupt
            .as_mut()
            .is_some_and(|interrupt| interrupt.as_mut().poll(&mut cx).is_ready());
        if (term.poll(&mut cx) || is_interrupted) && !is_stopping {
            is_stopping = true;
            // Restores the default of SIGINT.
            interrupt = None;
            let noticed_at = Instant::now();
            let _ = stops.try_send(Received::Stop(StopRequest {
                requested_at: pauses.signalled_since(noticed_at),
                noticed_at,
            }));
        }
        if hangups
            .as_mut()
            .is_some_and(|hangups| hangups.poll(&mut cx))
        {
            let _ = ignored.try_send(Received::Hangup);
        }
        pauses.record_check(Instant::now());
        let _ = installed.send(());
        match is_stopping {
            true => std::thread::park(),
            false => std::thread::park_timeout(CHECK_INTERVAL),
        }
    }
}

type SignalFuture = Pin<Box<dyn Future<Output = io::Result<()>>>>;

/// Handler of a signal that stays installed between two signals.
///
/// The kernel ends the process at a signal whose last handler has been removed, as happens when its future completes.
struct Listener {
    number: i32,
    next: SignalFuture,
    /// Future that is never polled again, so that there always is a handler.
    _keeper: SignalFuture,
}

impl Listener {
    fn new(number: i32, cx: &mut Context<'_>) -> Listener {
        let mut next: SignalFuture = Box::pin(signal(number));
        let is_received = next.as_mut().poll(cx).is_ready();
        let mut keeper: SignalFuture = Box::pin(signal(number));
        while let Poll::Ready(Ok(())) = keeper.as_mut().poll(cx) {
            keeper = Box::pin(signal(number));
        }
        if is_received {
            // Completes at once, so that the signal is seen by the first poll.
            next = Box::pin(async { Ok(()) });
        }
        Listener {
            number,
            next,
            _keeper: keeper,
        }
    }

    /// Returns whether the signal was received since the last poll.
    fn poll(&mut self, cx: &mut Context<'_>) -> bool {
        let mut is_received = false;
        loop {
            match self.next.as_mut().poll(cx) {
                Poll::Pending => return is_received,
                Poll::Ready(Ok(())) => {
                    is_received = true;
                    self.next = Box::pin(signal(self.number));
                }
                // The signal has no handler that could be installed; none of those used here is such.
                Poll::Ready(Err(_)) => {
                    self.next = Box::pin(std::future::pending());
                    return is_received;
                }
            }
        }
    }
}

/// Wakes a thread, which a signal handler may do.
struct ThreadWaker(Thread);

impl Wake for ThreadWaker {
    fn wake(self: Arc<Self>) {
        self.0.unpark();
    }
}

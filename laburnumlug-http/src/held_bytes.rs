//! Bytes that this process holds of what it received, within one budget.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::marker::PhantomData;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use laburnumlug_policy::{HolderId, MemoryBudget};

/// Budget of a thread, whose runtime serves all connections of the process.
struct Ledger {
    budget: MemoryBudget,
    /// Tasks that wait for the end of a holder, by its id.
    waiting: Vec<Option<Waker>>,
}

thread_local! {
    static LEDGER: RefCell<Ledger> = RefCell::new(Ledger {
        budget: MemoryBudget::new(usize::MAX),
        waiting: Vec::new(),
    });
}

/// Sets how many bytes the runtime of this thread may hold of what it received; without a call there is no limit.
pub fn set_memory_budget(bytes: usize) {
    LEDGER.with_borrow_mut(|ledger| ledger.budget.set_limit(bytes));
}

/// Returns how many bytes the runtime of this thread may hold of what it received.
pub fn memory_budget() -> usize {
    LEDGER.with_borrow(|ledger| ledger.budget.limit())
}

/// Returns the number of bytes that the runtime of this thread holds of what it received.
pub fn held_bytes() -> usize {
    LEDGER.with_borrow(|ledger| ledger.budget.held())
}

/// State of the memory budget when a holder has to end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OverBudget {
    /// Bytes of the holder that ended.
    pub holder_bytes: usize,
    /// Bytes of all holders.
    pub held_bytes: usize,
    /// Number of bytes that all holders may have.
    pub budget_bytes: usize,
}

impl fmt::Display for OverBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of the {} bytes held of the budget of {} were of this exchange, the largest",
            self.holder_bytes, self.held_bytes, self.budget_bytes
        )
    }
}

/// Number of bytes that one body, event or queue occupies; dropping it releases them.
///
/// It occupies nothing in the budget before its first byte. Only one task at a time may wait for its end.
#[derive(Default)]
pub struct HeldBytes {
    id: Cell<Option<HolderId>>,
    bytes: Cell<usize>,
    /// The id belongs to the budget of one thread.
    _not_send: PhantomData<Rc<()>>,
}

impl HeldBytes {
    /// Sets the number of bytes, before they are kept.
    ///
    /// # Errors
    ///
    /// Fails if this holder has to end, as it is the largest one of a process that exceeds its budget.
    pub fn resize(&self, bytes: usize) -> Result<(), OverBudget> {
        if bytes == 0 && self.id.get().is_none() {
            return Ok(());
        }
        let to_wake = LEDGER.with_borrow_mut(|ledger| {
            let id = self.id.get().unwrap_or_else(|| ledger.budget.open());
            self.id.set(Some(id));
            match ledger.budget.resize(id, bytes) {
                Some(named) if named == id => Err(ledger.over_budget(self.bytes.get())),
                named => Ok(named.and_then(|named| ledger.waiting.get_mut(named)?.take())),
            }
        })?;
        self.bytes.set(bytes);
        if let Some(waker) = to_wake {
            waker.wake();
        }
        Ok(())
    }

    /// Marks the holder as whole, so that it ends only if whole holders have too much of the budget; returns whether it never ends.
    pub fn mark_whole(&self) -> bool {
        let Some(id) = self.id.get() else {
            return true;
        };
        LEDGER.with_borrow_mut(|ledger| ledger.budget.mark_whole(id))
    }

    /// Releases all bytes; the holder may be used again.
    pub fn release(&self) {
        self.bytes.set(0);
        if let Some(id) = self.id.take() {
            // A value that is dropped with its thread has no budget left.
            let _ = LEDGER.try_with(|ledger| ledger.borrow_mut().close(id));
        }
    }

    /// Returns the state of the budget if this holder has to end.
    pub fn over_budget(&self) -> Option<OverBudget> {
        let id = self.id.get()?;
        LEDGER.with_borrow(|ledger| {
            let is_ending = ledger.budget.is_ending(id);
            is_ending.then(|| ledger.over_budget(self.bytes.get()))
        })
    }

    /// Polls whether this holder has to end, and wakes the task once it has.
    pub(crate) fn poll_ended(&self, cx: &mut Context<'_>) -> Poll<OverBudget> {
        let Some(id) = self.id.get() else {
            return Poll::Pending;
        };
        LEDGER.with_borrow_mut(|ledger| match ledger.budget.is_ending(id) {
            true => Poll::Ready(ledger.over_budget(self.bytes.get())),
            false => {
                ledger.set_waiting(id, cx.waker());
                Poll::Pending
            }
        })
    }

    /// Waits until this holder has to end; bytes that are reserved later count only once the returned future is polled.
    pub async fn ended(&self) -> OverBudget {
        std::future::poll_fn(|cx| self.poll_ended(cx)).await
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.release();
    }
}

impl fmt::Debug for HeldBytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("HeldBytes").field(&self.bytes.get()).finish()
    }
}

impl Ledger {
    fn over_budget(&self, holder_bytes: usize) -> OverBudget {
        OverBudget {
            holder_bytes,
            held_bytes: self.budget.held(),
            budget_bytes: self.budget.limit(),
        }
    }

    fn close(&mut self, id: HolderId) {
        self.budget.close(id);
        if let Some(waiting) = self.waiting.get_mut(id) {
            *waiting = None;
        }
    }

    fn set_waiting(&mut self, id: HolderId, waker: &Waker) {
        if self.waiting.len() <= id {
            self.waiting.resize(id + 1, None);
        }
        match &mut self.waiting[id] {
            Some(current) => current.clone_from(waker),
            vacant => *vacant = Some(waker.clone()),
        }
    }
}

#[cfg(test)]
#[path = "held_bytes_tests.rs"]
mod tests;

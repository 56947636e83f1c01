//! Budget of the bytes that a process holds of what it received from outside.

/// Identifies a holder until it is closed.
pub type HolderId = usize;

/// One body, event or queue whose bytes count towards a [`MemoryBudget`].
#[derive(Clone, Copy, Debug)]
struct Holder {
    bytes: usize,
    /// Number of holders that were opened before.
    age: u64,
    state: State,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Bytes may be added, and the holder may be named.
    Growing,
    /// The holder is whole and is not named.
    Whole,
    /// The holder has been named, and its bytes are about to be released.
    Ending,
}

/// Share of the budget, as a divisor, that whole holders may have without being named.
const WHOLE_SHARE: usize = 2;

/// Decides which holder ends when all of them together exceed the memory that they may use.
///
/// A limit per body does not bound the memory of a process, as any number of bodies may arrive at once. Here the largest
/// holder ends, so that a peer which sends without end costs its own exchange and not those of others. The bytes of a
/// named holder no longer count towards the budget, although they are held until its owner has dropped them.
///
/// Whole bodies grow no further, so they do not end because others grow, as long as they have at most half of the budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limit: usize,
    /// Bytes of all holders.
    held: usize,
    /// Bytes of the holders that have not been named.
    kept: usize,
    /// Bytes of the holders that are whole.
    whole: usize,
    holders: Vec<Option<Holder>>,
    /// Indices of `holders` that are vacant.
    vacant: Vec<HolderId>,
    opened: u64,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget {
            limit,
            held: 0,
            kept: 0,
            whole: 0,
            holders: Vec::new(),
            vacant: Vec::new(),
            opened: 0,
        }
    }

    /// Replaces the limit; holders that exceed a lower one end when another byte arrives.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Returns the number of bytes that all holders together may have.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of bytes that are held, also by holders that have been named.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Adds a holder without bytes.
    pub fn open(&mut self) -> HolderId {
        let holder = Some(Holder {
            bytes: 0,
            age: self.opened,
            state: State::Growing,
        });
        self.opened += 1;
        match self.vacant.pop() {
            Some(id) => {
                self.holders[id] = holder;
                id
            }
            None => {
                self.holders.push(holder);
                self.holders.len() - 1
            }
        }
    }

    /// Removes a holder with its bytes.
    pub fn close(&mut self, id: HolderId) {
        let Some(holder) = self.holders.get_mut(id).and_then(Option::take) else {
            return;
        };
        self.held -= holder.bytes;
        if holder.state != State::Ending {
            self.kept -= holder.bytes;
        }
        if holder.state == State::Whole {
            self.whole -= holder.bytes;
        }
        self.vacant.push(id);
    }

    /// Marks a holder as whole, unless it has been named or whole holders would have more than half of the budget; returns whether it
    /// is whole.
    pub fn mark_whole(&mut self, id: HolderId) -> bool {
        let Some(holder) = self.holders.get_mut(id).and_then(Option::as_mut) else {
            return false;
        };
        let whole = self.whole + holder.bytes;
        if holder.state == State::Growing && whole <= self.limit / WHOLE_SHARE {
            holder.state = State::Whole;
            self.whole = whole;
        }
        holder.state == State::Whole
    }

    /// Sets the number of bytes of a holder, which is not whole then, and returns the holder that has to end for it, if any.
    ///
    /// That is the largest one that is not whole, and the newest of several. If it is the holder itself, its number stays as it was, and it
    /// may keep nothing further. Of any other holder, the owner has to be told to drop its bytes.
    pub fn resize(&mut self, id: HolderId, bytes: usize) -> Option<HolderId> {
        let holder = self.holders.get_mut(id)?.as_mut()?;
        let before = holder.bytes;
        if holder.state == State::Whole {
            holder.state = State::Growing;
            self.whole -= before;
        }
        let is_ending = holder.state == State::Ending;
        if is_ending && bytes > before {
            return Some(id);
        }
        self.held = self.held - before + bytes;
        holder.bytes = bytes;
        if is_ending {
            return None;
        }
        self.kept = self.kept - before + bytes;
        if self.kept <= self.limit || bytes <= before {
            return None;
        }
        let largest = self.largest()?;
        if largest == id {
            self.held = self.held - bytes + before;
            self.kept = self.kept - bytes + before;
            self.holders[id].as_mut()?.bytes = before;
        }
        let named = self.holders[largest].as_mut()?;
        named.state = State::Ending;
        self.kept -= named.bytes;
        Some(largest)
    }

    /// Returns the largest growing holder, and the newest of several.
    fn largest(&self) -> Option<HolderId> {
        let holders = self.holders.iter().enumerate();
        let open = holders.filter_map(|(id, holder)| holder.map(|holder| (id, holder)));
        open.filter(|(_, holder)| holder.state == State::Growing)
            .max_by_key(|(_, holder)| (holder.bytes, holder.age))
            .map(|(id, _)| id)
    }

    /// Returns whether a holder has been named.
    pub fn is_ending(&self, id: HolderId) -> bool {
        let holder = self.holders.get(id).copied().flatten();
        holder.is_some_and(|holder| holder.state == State::Ending)
    }
}

#[cfg(test)]
#[path = "memory_budget_tests.rs"]
mod tests;

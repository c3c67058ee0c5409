//! The fencing token of one worker, as the holder of its shard issues it.

/// Number of low bits of a fencing token that hold a counter, below the shard's epoch.
/// The shard's holder raises the counter to get a higher token for one worker without
/// a write to the state service.
const COUNTER_BITS: u32 = 20;
/// Highest value of the counter.
const MAX_COUNTER: u64 = (1 << COUNTER_BITS) - 1;
/// Values of the counter that are kept for raises that direct commands do not cause.
const RESERVED_COUNTERS: u64 = 1 << 16;

/// Counter of a worker's fencing token, and what is known of its earlier values.
#[derive(Debug, Clone, Default)]
pub struct WorkerFencing {
    /// Low part of the token.
    counter: u64,
    /// Value of `counter` when the state of the worker was last forgotten. Outcomes of
    /// commands with a lower counter are ignored.
    counter_at_reset: u64,
    /// Lowest counter with which the worker's heartbeats prove which tasks run on the
    /// machine: no command sent with a lower one can still change that.
    trusted_counter: u64,
    /// Counter with which commands were last sent directly.
    direct_command_counter: u64,
}

impl WorkerFencing {
    /// Current fencing token for commands to the worker, in a given epoch of the shard's
    /// lease.
    pub fn token(&self, epoch: u64) -> u64 {
        token(epoch, self.counter)
    }

    /// Whether a heartbeat that reports `seen_token` as the worker's highest token proves
    /// which tasks run on the machine.
    pub fn is_synced(&self, seen_token: u64, epoch: u64) -> bool {
        (token(epoch, self.trusted_counter)..=self.token(epoch)).contains(&seen_token)
    }

    /// Records that commands are sent directly with the current token.
    pub fn record_direct_commands(&mut self) {
        self.direct_command_counter = self.counter;
    }

    /// Whether commands may be sent directly. They may not when the counter is nearly used
    /// up, since their copies could not be voided. The replies to heartbeats carry all
    /// commands then.
    pub fn may_send_direct_commands(&self) -> bool {
        self.counter < MAX_COUNTER - RESERVED_COUNTERS
    }

    /// Raises the token if commands were sent directly with it. All of them must have been
    /// answered. This voids their copies, which may arrive at any time, once the worker has
    /// seen the new token. Heartbeats that the worker sends before that are still proof,
    /// since the outcome of the commands is known. Returns whether the token was raised.
    pub fn void_answered_commands(&mut self) -> bool {
        let needed = self.direct_command_counter == self.counter;
        if needed {
            self.raise();
        }
        needed
    }

    /// Raises the token, which voids all commands sent so far once the worker has seen the
    /// new token. Until then its heartbeats prove nothing.
    pub fn void_commands(&mut self) {
        self.raise();
        self.trusted_counter = self.counter;
    }

    /// Voids all commands sent so far because the state of the worker is forgotten.
    pub fn reset(&mut self) {
        self.void_commands();
        self.counter_at_reset = self.counter;
    }

    /// Whether `token` was issued in this epoch after the last [`reset`](Self::reset).
    pub fn is_token_since_reset(&self, token_sent: u64, epoch: u64) -> bool {
        (token(epoch, self.counter_at_reset)..=self.token(epoch)).contains(&token_sent)
    }

    fn raise(&mut self) {
        self.counter = (self.counter + 1).min(MAX_COUNTER);
    }
}

/// The fencing token with this epoch and counter.
fn token(epoch: u64, counter: u64) -> u64 {
    (epoch << COUNTER_BITS) | counter
}

#[cfg(test)]
mod tests;

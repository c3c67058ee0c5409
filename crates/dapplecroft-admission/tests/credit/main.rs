//! Grants and spending with crashes, losses, repeats and late transactions: explored
//! exhaustively where it is small, and at random where it is larger. Whether the limit is
//! kept is told from the state service's keys alone.

mod exhaustive;
mod random;
mod world;

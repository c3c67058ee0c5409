//! Credit is granted and spent while processes crash and transactions are lost, repeated or
//! committed late. A small cell is explored exhaustively, a larger one with random histories.
//! Whether the limit holds is checked against the simulated state service's keys alone.

mod exhaustive;
mod random;
mod world;

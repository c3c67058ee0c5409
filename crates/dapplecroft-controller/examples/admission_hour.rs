//! Simulates an hour of overload and prints how many of its submissions each of eight teams
//! had accepted. It runs on the in-memory stand-ins and their paused clock. CI does not run it.
//!
//!     cargo run --release -p dapplecroft-controller --example admission_hour -- SEED [SECONDS] [without]
//!
//! SECONDS is the simulated time (default: 3600); `without` switches admission control off.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
#[path = "../tests/stories/cluster.rs"]
mod cluster;
#[allow(dead_code)]
#[path = "../tests/stories/credit_checker.rs"]
mod credit_checker;
#[allow(dead_code)]
#[path = "../tests/stories/overload.rs"]
mod overload;
#[allow(dead_code)]
#[path = "../tests/stories/overload_hour.rs"]
mod overload_hour;

use std::time::{Duration, Instant};

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let seed = arguments.first().and_then(|text| text.parse().ok()).unwrap_or(1);
    let seconds = arguments.get(1).and_then(|text| text.parse().ok()).unwrap_or(3600);
    let with_admission = arguments.get(2).is_none_or(|word| word != "without");
    let started_at = Instant::now();
    tokio::time::pause();
    let report = overload_hour::run_overload(seed, Duration::from_secs(seconds), with_admission).await;
    println!("seed {seed}, {seconds} s, admission {}", if with_admission { "on" } else { "off" });
    overload_hour::print_report(&report);
    println!("{:.1} s of real time", started_at.elapsed().as_secs_f64());
}

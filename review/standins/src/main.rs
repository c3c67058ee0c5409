//! The tests of the review's cases; `review/N/run.sh` starts one.

mod case1;
mod case2;
mod case3;
mod proxy;
mod users;
mod world;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let code = runtime.block_on(async {
        match case.as_str() {
            "1" => case1::run(trouble).await,
            "2" => case2::run(trouble).await,
            "3" => case3::run(trouble).await,
            _ => 2,
        }
    });
    std::process::exit(code)
}

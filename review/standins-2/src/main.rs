//! Stand-ins for the cases of the second review, and the cases themselves.
//!
//! usage: standins-2 CASE REPOSITORY CASE-FOLDER TEMPORARY-FOLDER

mod controllers;
mod failed_once;
mod http_io;
mod late_copy;
mod one_zone;
mod platform;
mod proxy;
mod resets;

use controllers::{CONTROLLERS, Controllers, Failed};
use platform::World;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

async fn play(
    world: &Arc<World>,
    case: &str,
    root: PathBuf,
    folder: PathBuf,
    trouble: bool,
) -> Result<(), Failed> {
    let mut all = Controllers::start_all(world, &root, &folder, 6).await?;
    match case {
        "failed-once" => failed_once::run(world, &mut all, trouble).await?,
        "late-copy" => late_copy::run(world, &mut all, trouble).await?,
        "one-zone" => one_zone::run(world, &mut all, trouble).await?,
        "resets" => resets::run(world, &mut all, trouble).await?,
        _ => return Err(format!("no case {case}")),
    }
    for n in 0..CONTROLLERS {
        if all.ended(n) {
            world.broken.lock().unwrap().push(format!("crofter-{n} ended by itself"));
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, case_folder, folder] = arguments.as_slice() else {
        eprintln!("usage: standins-2 CASE REPOSITORY CASE-FOLDER TEMPORARY-FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let played = runtime.block_on(async {
        let world = World::new(&PathBuf::from(case_folder).join("record.txt"));
        world
            .record
            .log(format!("CASE   {case}, {}", if trouble { "with the disruption" } else { "without it" }));
        let played = play(&world, case, root.into(), folder.into(), trouble).await;
        let broken = world.broken.lock().unwrap().clone();
        let verdict = match &played {
            Err(failed) => format!("could not run: {failed}"),
            Ok(()) if broken.is_empty() => "the rule held".into(),
            Ok(()) => format!("broken: {}", broken.join("; ")),
        };
        world.record.log(format!("CASE   {verdict} ({:.0} s)", world.record.elapsed().as_secs_f64()));
        println!("{case}: {verdict}");
        played.map(|()| broken.is_empty())
    });
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(_) => ExitCode::from(2),
    }
}

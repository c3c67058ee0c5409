use super::*;

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

fn with_checkpoints(age: f64, running: f64) -> TaskProgress {
    let checkpoints = CheckpointPolicy { interval: seconds(20.0), save_time: seconds(2.0) };
    TaskProgress {
        age: seconds(age),
        run_time: Some(seconds(running)),
        checkpoint_policy: Some(checkpoints),
        first_attempt: true,
    }
}

#[test]
fn without_checkpoints_all_time_since_placement_is_lost() {
    let task = TaskProgress { checkpoint_policy: None, ..with_checkpoints(93.0, 90.0) };
    assert_eq!((task.lost_if_stopped(), task.checkpoint_grace()), (seconds(93.0), None));
}

#[test]
fn a_task_with_checkpoints_loses_only_save_and_image_fetch_time() {
    // 3 s of fetching the image and 2 s of saving are lost. The last checkpoint was
    // 10 s ago, so saving pays off.
    let task = with_checkpoints(93.0, 90.0);
    assert_eq!((task.lost_if_stopped(), task.checkpoint_grace()), (seconds(5.0), Some(seconds(2.0))));
}

#[test]
fn no_grace_when_saving_takes_longer_than_redoing_the_work() {
    let task = with_checkpoints(84.0, 81.0);
    assert_eq!((task.lost_if_stopped(), task.checkpoint_grace()), (seconds(4.0), None));
    // The task has run for 1.5 s, which is less than the 2 s that saving takes.
    assert_eq!(with_checkpoints(2.5, 1.5).lost_if_stopped(), seconds(2.5));
    // For a task that resumed from a checkpoint, the time of its last save is unknown,
    // so it gets the grace period to save.
    let resumed = TaskProgress { first_attempt: false, ..task };
    assert_eq!((resumed.lost_if_stopped(), resumed.checkpoint_grace()), (seconds(5.0), Some(seconds(2.0))));
}

#[test]
fn an_unfinished_image_fetch_is_lost() {
    let task = TaskProgress { run_time: None, ..with_checkpoints(6.0, 0.0) };
    assert_eq!((task.lost_if_stopped(), task.checkpoint_grace()), (seconds(6.0), None));
}

#[test]
fn lost_time_never_exceeds_time_on_the_machine() {
    for running in 0..200 {
        let running = f64::from(running) * 0.7;
        let task = with_checkpoints(running + 4.0, running);
        assert!(task.lost_if_stopped() <= task.age, "{task:?}");
    }
}

use super::*;

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

fn saving(age: f64, running: f64) -> Progress {
    let checkpoints = Checkpoints { interval: seconds(20.0), save_time: seconds(2.0) };
    Progress {
        age: seconds(age),
        running: Some(seconds(running)),
        checkpoints: Some(checkpoints),
        first_attempt: true,
    }
}

#[test]
fn without_checkpoints_all_since_the_placement_is_lost() {
    let task = Progress { checkpoints: None, ..saving(93.0, 90.0) };
    assert_eq!((task.loss(), task.time_to_save()), (seconds(93.0), None));
}

#[test]
fn a_task_that_saves_loses_the_save_and_its_image() {
    // Three seconds of fetching; ten since the last checkpoint.
    let task = saving(93.0, 90.0);
    assert_eq!((task.loss(), task.time_to_save()), (seconds(5.0), Some(seconds(2.0))));
}

#[test]
fn what_has_just_been_saved_is_not_saved_again() {
    let task = saving(84.0, 81.0);
    assert_eq!((task.loss(), task.time_to_save()), (seconds(4.0), None));
    // Nor is what took less time to run than to save.
    assert_eq!(saving(2.5, 1.5).loss(), seconds(2.5));
    // When it last saved is not known of one that went on from a checkpoint.
    let again = Progress { first_attempt: false, ..task };
    assert_eq!((again.loss(), again.time_to_save()), (seconds(5.0), Some(seconds(2.0))));
}

#[test]
fn a_fetch_under_way_is_lost_with_the_task() {
    let task = Progress { running: None, ..saving(6.0, 0.0) };
    assert_eq!((task.loss(), task.time_to_save()), (seconds(6.0), None));
}

#[test]
fn no_loss_exceeds_the_time_on_the_machine() {
    for running in 0..200 {
        let running = f64::from(running) * 0.7;
        let task = saving(running + 4.0, running);
        assert!(task.loss() <= task.age, "{task:?}");
    }
}

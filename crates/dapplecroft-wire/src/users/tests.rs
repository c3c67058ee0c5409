use super::*;
use serde_json::json;

fn valid_submission() -> Value {
    json!({"id":"run-000412","lane":"train","crew":"vision","form":"sweep","rank":"urgent","shares":16,
        "cpus":8.0,"gpus":1.0,"memory_gb":64.0,"bundle":"img-07","image_gb":6.2,"hulls":["g8"],"yard":null,
        "same_place":true,"apart":false,"loaners":true,"reckon_s":240.0,"mark_s":30.0,"stow_s":4.0,
        "due_s":900.0,"later":1})
}

#[test]
fn a_valid_submission_survives_a_round_trip() {
    let spec = JobSpec::parse(valid_submission().to_string().as_bytes()).unwrap();
    assert_eq!(spec.tasks, 16);
    assert_eq!(spec.types.as_deref(), Some(&["g8".to_string()][..]));
    let again: JobSpec = serde_json::from_value(serde_json::to_value(&spec).unwrap()).unwrap();
    assert_eq!(again, spec);
}

#[test]
fn a_service_needs_no_run_time_estimate_and_no_deadline() {
    let mut body = valid_submission();
    body["form"] = json!("service");
    body["reckon_s"] = json!(0);
    body["due_s"] = json!(null);
    let spec = JobSpec::parse(body.to_string().as_bytes()).unwrap();
    assert!(spec.is_service() && spec.estimate_s == 0.0 && spec.deadline_s.is_none());
    assert!(!JobSpec::parse(valid_submission().to_string().as_bytes()).unwrap().is_service());
}

#[test]
fn the_error_names_the_invalid_field() {
    for (field, value) in [
        ("id", json!("job-1")),
        ("id", json!("run-")),
        ("shares", json!(0)),
        ("shares", json!(100_001)),
        ("shares", json!(1.5)),
        ("cpus", json!(-1.0)),
        ("memory_gb", json!("NaN")),
        ("form", json!("gang")),
        ("rank", json!("top")),
        ("reckon_s", json!(null)),
        ("reckon_s", json!(-1.0)),
        ("due_s", json!(-3)),
        ("loaners", json!("yes")),
        ("hulls", json!("g8")),
        ("crew", json!("")),
    ] {
        let mut body = valid_submission();
        body[field] = value;
        let error = JobSpec::parse(body.to_string().as_bytes()).unwrap_err();
        assert!(error.starts_with(field), "{field}: {error}");
    }
    assert_eq!(JobSpec::parse(b"[1]").unwrap_err(), "not an object");
    assert_eq!(JobSpec::parse(b"{").unwrap_err(), "not JSON");
}

// Guards against accepting an incomplete submission: missing fields were once read as false or 0, so the job
// that ran was not the one that its user meant.
#[test]
fn only_nullable_fields_may_be_missing() {
    let all = valid_submission();
    for field in all.as_object().unwrap().keys().filter(|f| *f != "later") {
        let mut body = all.clone();
        body.as_object_mut().unwrap().remove(field);
        let read = JobSpec::parse(body.to_string().as_bytes());
        if ["hulls", "yard", "due_s"].contains(&field.as_str()) {
            assert!(read.is_ok(), "{field}: {read:?}");
        } else {
            assert!(read.is_err_and(|e| e.starts_with(field.as_str())), "{field}");
        }
        let mut body = all.clone();
        body[field] = Value::Null;
        let nullable = ["hulls", "yard", "due_s"].contains(&field.as_str());
        assert_eq!(JobSpec::parse(body.to_string().as_bytes()).is_ok(), nullable, "{field}");
    }
}

//! Stable ids, collisions of names and the eviction of unused names.

use super::*;

#[test]
fn ids_never_change_between_builds() {
    // printf 'function\0fare-quote' | sha256sum
    assert_eq!(function_id("fare-quote").0, 0xe53f_7a30_4fb7_0a85);
    assert_ne!(function_id("a").0, worker_id("a").0);
}

#[test]
fn a_second_name_with_the_same_id_is_refused_and_the_first_goes_on() {
    let mut names = Names::new(8);
    names.hash = |name| FunctionId(name.len() as u64);
    let (first, second) = (Arc::from("one"), Arc::from("two"));
    assert_eq!(names.acquire(&first), Ok(FunctionId(3)));
    assert!(matches!(names.acquire(&second), Err(NameError::Collision { .. })));
    assert_eq!(names.acquire(&first), Ok(FunctionId(3)));
}

#[test]
fn names_in_use_stay_and_others_make_room() {
    let mut names = Names::new(2);
    let [first_name, second_name, third_name]: [Arc<str>; 3] = ["a", "b", "c"].map(Arc::from);
    let first = names.acquire(&first_name).unwrap();
    let second = names.acquire(&second_name).unwrap();
    assert_eq!(names.acquire(&third_name), Err(NameError::Full));
    names.release(second);
    names.acquire(&third_name).unwrap();
    assert_eq!((names.get(first), names.get(second)), (Some(first_name), None));
}

//! Stability of ids, colliding names, and the eviction of unused names.

use super::*;

#[test]
fn ids_are_the_same_in_all_builds() {
    // Expected value: printf 'function\0fare-quote' | sha256sum
    assert_eq!(function_id("fare-quote").0, 0xe53f_7a30_4fb7_0a85);
    assert_ne!(function_id("a").0, worker_id("a").0);
}

#[test]
fn a_name_whose_id_collides_with_a_registered_name_is_refused() {
    let mut names = Names::new(8);
    names.hash = |name| FunctionId(name.len() as u64);
    let (first, second) = (Arc::from("one"), Arc::from("two"));
    assert_eq!(names.acquire(&first), Ok(FunctionId(3)));
    assert!(matches!(names.acquire(&second), Err(NameError::Collision { .. })));
    assert_eq!(names.acquire(&first), Ok(FunctionId(3)));
}

#[test]
fn only_names_without_open_calls_are_evicted() {
    let mut names = Names::new(2);
    let [first_name, second_name, third_name]: [Arc<str>; 3] = ["a", "b", "c"].map(Arc::from);
    let first = names.acquire(&first_name).unwrap();
    let second = names.acquire(&second_name).unwrap();
    assert_eq!(names.acquire(&third_name), Err(NameError::Full));
    names.release(second);
    names.acquire(&third_name).unwrap();
    assert_eq!((names.get(first), names.get(second)), (Some(first_name), None));
}

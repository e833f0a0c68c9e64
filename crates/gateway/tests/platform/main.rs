//! The platform's router as a process: what passes on its sockets when workers, clients and the change log misbehave.

mod busy_shutdown;
mod crossings;
mod fleet_size;
mod list_outage;
mod soak;
mod stepped_router;
#[path = "../support/mod.rs"]
mod support;
mod test_servers;

use std::collections::HashMap;
use std::io::{Read, Write};
use std::time::{Duration, Instant};
use support::until;
use test_servers::*;

fn served() -> End {
    End::Served(b"done".to_vec())
}

fn refused() -> End {
    End::Error("Throttled".into())
}

#[test]
fn calls_of_each_class_are_served_and_pass_unchanged() {
    let worker = good();
    let router = Router::start(&ChangeLog::start(&[("w", worker.address)]));
    ready(&router);
    let mut client = Client::connect(router.process.address);
    for (tag, class) in ["quote", "booking", "charge"].into_iter().enumerate() {
        assert_eq!(client.call(class, 0xabc, 100 + tag as u64), served());
        let seen = worker.calls().pop().unwrap();
        let id = format!("{:016x}", 100 + tag);
        assert_eq!((&seen.id, seen.body), (&id, format!("body-{}", 100 + tag).into_bytes()));
        let fields: HashMap<_, _> = seen.fields.split(',').filter_map(|f| f.split_once('=')).collect();
        assert_eq!((fields["profile"], fields["thing"]), (class, "0000000000000abc"));
        assert_eq!(fields.get("replay"), (class == "booking").then_some(&id.as_str()));
        assert!(fields["max"].parse::<u32>().is_ok_and(|ms| (1..=2500).contains(&ms)));
    }
    // The worker reads orders on another thread than calls, and may count this one after it answered them; only what was
    // sent before the end of the router can still come.
    drop((client, router));
    until("its load request to be counted", || worker.orders() > 0);
}

#[test]
fn what_may_have_run_is_not_run_again_and_what_did_not_is() {
    // What a worker does about the first attempt, and whether a charge may go on to another.
    let cases = [
        (Act::Say("NOENT", vec![]), true),
        (Act::Say("AGAIN", vec![]), true),
        (Act::Say("STALE", vec![]), true),
        (Act::Say("EIO", vec![]), false),
        (Act::Say("WHAT", vec![]), false),
        (Act::Close, false),
        (Act::Cut, false),
        (Act::Raw(b" ACK - 3000000000\r\n".to_vec()), false),
        (Act::Raw(vec![b'x'; 5000]), false),
    ];
    for (n, (act, again)) in cases.into_iter().enumerate() {
        let first = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
        let worker = || {
            let (first, act) = (first.clone(), act.clone());
            Worker::start(move |_, _| match first.swap(false, std::sync::atomic::Ordering::SeqCst) {
                true => act.clone(),
                false => Act::Say("ACK", b"done".to_vec()),
            })
        };
        let workers = [worker(), worker()];
        let router =
            Router::start(&ChangeLog::start(&[("a", workers[0].address), ("b", workers[1].address)]));
        ready(&router);
        let mut client = Client::connect(router.process.address);
        let end = client.call("charge", 7, n as u64);
        let runs = workers.iter().map(|w| w.calls().len()).sum::<usize>();
        if again {
            assert_eq!((end, runs), (served(), 2), "{act:?}");
        } else {
            assert_ne!(end, refused(), "{act:?}: it may have run");
            assert!(matches!(end, End::Error(_)) && runs == 1, "{act:?}: {runs}");
        }
        // A safe one goes on whatever the first answer was.
        first.store(true, std::sync::atomic::Ordering::SeqCst);
        assert_eq!(client.call("quote", 7, 1_000 + n as u64), served(), "{act:?}");
    }
}

#[test]
fn good_answers_with_more_than_belongs_to_them_are_good() {
    let extra = |seen: &Seen, n: usize| match n % 3 {
        0 => Act::Raw(format!(" ACK - 4\r\ndone\r\n{} ACK - 4\r\ndone\r\n", seen.id).into_bytes()),
        1 => Act::Raw(format!("zz ACK - 2\r\nhi\r\n{} ACK - 4\r\ndone\r\n", seen.id).into_bytes()),
        _ => Act::Say("ACK", b"done".to_vec()),
    };
    let worker = Worker::start(extra);
    let router = Router::start(&ChangeLog::start(&[("w", worker.address)]));
    ready(&router);
    let mut client = Client::connect(router.process.address);
    for tag in 0..30 {
        assert_eq!(client.call("charge", 7, tag), served());
    }
}

#[test]
fn a_silent_worker_ends_a_charge_as_failed_and_runs_it_once() {
    let worker = Worker::start(|_, _| Act::Silence);
    let router = Router::start(&ChangeLog::start(&[("w", worker.address)]));
    ready(&router);
    let mut client = Client::connect(router.process.address);
    assert_eq!(client.call("charge", 1, 1), End::Error("Broken".into()));
    assert_eq!(worker.calls().len(), 1);
}

#[test]
fn a_worker_that_is_not_there_costs_a_charge_nothing() {
    let (worker, gone) = (good(), std::net::TcpListener::bind("127.0.0.1:0").unwrap());
    let nobody = gone.local_addr().unwrap();
    drop(gone);
    let router = Router::start(&ChangeLog::start(&[("w", worker.address), ("x", nobody)]));
    ready(&router);
    let mut client = Client::connect(router.process.address);
    for tag in 0..20 {
        assert_eq!(client.call("charge", tag, tag), served());
    }
}

#[test]
fn after_a_drain_is_told_nothing_new_reaches_the_worker_and_a_successor_at_its_address_is_another() {
    let (a, b) = (good(), good());
    let log = ChangeLog::start(&[("a", a.address), ("b", b.address)]);
    let router = Router::start(&log);
    ready(&router);
    let mut client = Client::connect(router.process.address);
    let mut tag = 0;
    let mut calls = |client: &mut Client, n: u64| {
        for _ in 0..n {
            tag += 1;
            assert_eq!(client.call("quote", tag % 40, tag), served());
        }
    };
    calls(&mut client, 80);
    assert!(!a.calls().is_empty() && !b.calls().is_empty());
    // Told through breaks in the middle of the event.
    log.break_off(2);
    log.tell(&[("a", a.address, "leaving")]);
    until("the drain to be heard", || {
        let before = a.calls().len();
        calls(&mut client, 40);
        a.calls().len() == before
    });
    let before = a.calls().len();
    calls(&mut client, 120);
    assert_eq!(a.calls().len(), before, "something new after the drain was heard");
    log.tell(&[("a", a.address, "left"), ("c", a.address, "active")]);
    let before = a.calls().len();
    until("the successor to have calls", || {
        calls(&mut client, 10);
        a.calls().len() > before
    });
}

#[test]
fn a_new_configuration_moves_the_change_log_and_a_broken_one_moves_nothing() {
    let (a, b) = (good(), good());
    let log = ChangeLog::start(&[("a", a.address), ("b", b.address)]);
    let router = Router::start(&log);
    ready(&router);
    let mut client = Client::connect(router.process.address);
    std::fs::write(router.file(), "{\"name\": 4").unwrap();
    router.process.signal("HUP");
    until("the error to be logged", || router.log().contains("the configuration was not taken"));
    assert_eq!(client.call("quote", 1, 1), served());
    let elsewhere = log.elsewhere();
    std::fs::write(router.file(), config(&elsewhere).to_string()).unwrap();
    router.process.signal("HUP");
    until("the file to be read", || router.log().contains("configuration read again"));
    elsewhere.tell(&[("a", a.address, "left")]);
    std::thread::sleep(Duration::from_millis(300));
    let before = a.calls().len();
    for tag in 10..60 {
        assert_eq!(client.call("quote", tag, tag), served());
    }
    assert_eq!(a.calls().len(), before, "the drain was told at the new address");
}

#[test]
fn a_configuration_that_is_half_written_at_its_signal_counts_once_it_is_whole() {
    let worker = good();
    let log = ChangeLog::start(&[("w", worker.address)]);
    let router = Router::start(&log);
    ready(&router);
    let elsewhere = log.elsewhere();
    let text = config(&elsewhere).to_string();
    std::fs::write(router.file(), &text[..text.len() / 2]).unwrap();
    router.process.signal("HUP");
    until("the error to be logged", || router.log().contains("the configuration was not taken"));
    std::fs::write(router.file(), text).unwrap();
    until("the file to be read", || router.log().contains("configuration read again"));
    assert_eq!(router.log().matches("was not taken").count(), 1, "it is said once");
    let mut client = Client::connect(router.process.address);
    assert_eq!(client.call("quote", 1, 1), served());
}

#[test]
fn on_sigterm_it_is_not_ready_but_serves_those_who_still_come_and_ends() {
    let worker = Worker::start(|_, _| Act::Later(300, "ACK", b"done".to_vec()));
    let mut router = Router::start(&ChangeLog::start(&[("w", worker.address)]));
    ready(&router);
    let mut client = Client::connect(router.process.address);
    let mut checking = Client::connect(router.process.address);
    assert!(checking.is_ready());
    client.send("charge", 1, 1);
    until("the call to be out", || worker.calls().len() == 1);
    router.process.signal("TERM");
    until("check to turn", || !checking.is_ready());
    let mut late = Client::connect(router.process.address);
    assert_eq!(late.call("charge", 2, 2), served(), "on a new connection");
    assert_eq!(client.answer().1, served());
    assert_eq!(client.call("charge", 3, 3), served(), "on an open one");
    assert_eq!(router.process.wait(), Some(0));
}

#[test]
fn new_versions_of_all_that_is_loaded_are_ordered_again_and_served_by_every_router() {
    let serve = |seen: &Seen, _| match seen.loaded {
        true => Act::Say("ACK", b"done".to_vec()),
        false => Act::Say("NOENT", vec![]),
    };
    let workers = [Worker::start(serve), Worker::start(serve)];
    let log = ChangeLog::start(&[("a", workers[0].address), ("b", workers[1].address)]);
    let routers: Vec<Router> = (0..3).map(|_| Router::start(&log)).collect();
    routers.iter().for_each(ready);
    let mut clients: Vec<Client> = routers.iter().map(|r| Client::connect(r.process.address)).collect();
    let mut tag = 0;
    for generation in 0..3 {
        // Nothing else is wrong: a quiet day. A charge that met a worker without a copy never ran and goes on.
        for _ in 0..4 {
            for client in &mut clients {
                for function in 1..=6 {
                    tag += 1;
                    assert_eq!(client.call("charge", function, tag), served(), "generation {generation}");
                }
            }
        }
        workers.iter().for_each(Worker::forget);
    }
    let mut ran: Vec<String> =
        workers.iter().flat_map(|w| w.calls()).filter(|c| c.loaded).map(|c| c.id).collect();
    ran.sort();
    let runs = ran.len();
    ran.dedup();
    assert_eq!((ran.len(), runs), (tag as usize, tag as usize), "each ran once");
    let orders: usize = workers.iter().map(Worker::orders).sum();
    assert!(orders <= 3 * 3 * 6 * 2, "{orders} orders");
}

#[test]
fn bad_clients_get_an_end_and_usual_ones_their_answers() {
    let worker = good();
    let router = Router::start(&ChangeLog::start(&[("w", worker.address)]));
    ready(&router);
    let address = router.process.address;
    let mut usual = Client::connect(address);
    // Hundreds that say nothing, beyond the descriptors that the router may hold.
    let start = Instant::now();
    let silent: Vec<Client> = (0..300).map(|_| Client::connect(address)).collect();
    let huge = || {
        let mut head = request(1, "quote", &[("req", "00000000000000aa")], b"");
        head.truncate(head.len() - 2);
        head.extend([0xc6, 0x03, 0x93, 0x87, 0x00]);
        head
    };
    let bad: Vec<Vec<u8>> = vec![
        huge(),
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        vec![0xc1; 100],
        vec![0x94; 100_000],
        request(1, "nobody", &[("req", "00000000000000aa")], b""),
        request(1, "quote", &[], b""),
        (1..=300).flat_map(|n| request(n, "quote", &[("req", &format!("{n:016x}"))], b"")).collect(),
    ];
    for bytes in &bad {
        let mut client = Client::connect(address);
        let _ = client.stream.write_all(bytes);
        let (_, end) = client.answer();
        assert!(!matches!(end, End::Served(_)));
    }
    for tag in 0..30 {
        // An idle connection may have made room; a usual client then asks on a new one.
        let end = match usual.call("charge", tag % 5, 500 + tag) {
            End::Closed => {
                usual = Client::connect(address);
                usual.call("charge", tag % 5, 500 + tag)
            }
            end => end,
        };
        assert_eq!(end, served());
    }
    for mut client in silent {
        let mut byte = [0; 1];
        // An end of file or a reset: either way it is closed.
        assert!(!matches!(client.stream.read(&mut byte), Ok(n) if n > 0));
    }
    assert!(start.elapsed() < Duration::from_secs(15), "they were closed, not timed out");
    assert!(worker.calls().iter().all(|c| c.body.starts_with(b"body-")), "nothing unusable reached a worker");
}

#[test]
fn tables_stay_at_their_size_while_fleets_functions_and_connections_come_and_go() {
    let workers: Vec<Worker> = (0..3).map(|_| good()).collect();
    let first: Vec<String> = (0..3).map(|n| format!("w0-{n}")).collect();
    let list: Vec<(&str, std::net::SocketAddr)> =
        first.iter().zip(&workers).map(|(id, w)| (id.as_str(), w.address)).collect();
    let log = ChangeLog::start(&list);
    let router = Router::start(&log);
    ready(&router);
    let mut tag = 0;
    for generation in 1..25 {
        // The whole fleet is replaced, at the same addresses under new ids.
        for (n, worker) in workers.iter().enumerate() {
            let (old, new) = (format!("w{}-{n}", generation - 1), format!("w{generation}-{n}"));
            log.tell(&[(&old, worker.address, "left"), (&new, worker.address, "active")]);
        }
        for _ in 0..4 {
            let mut client = Client::connect(router.process.address);
            for _ in 0..5 {
                tag += 1;
                // Some calls meet a worker in the moment it goes; each is answered all the same.
                assert_ne!(client.call("quote", 10_000 + tag, tag), End::Closed);
            }
        }
    }
    let sizes = router.stop();
    let [links, open, ids, peers, connections, attempts, timers] = sizes[..] else { panic!("{sizes:?}") };
    assert_eq!((open, ids, attempts), (0, 0, 0));
    // Timers of what ended early stand until they are due, 10 s for orders, 13.5 s for idle connections.
    assert!(links <= 120 && peers <= 3 && connections <= 30 && timers <= 2_000, "{sizes:?}");
}

#[test]
fn a_configuration_that_cannot_be_used_ends_the_start_and_names_file_and_field() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("config.json");
    let log = ChangeLog::start(&[]);
    let mut wrong = config(&log);
    wrong["limits"]["sockets"] = "many".into();
    std::fs::write(&file, wrong.to_string()).unwrap();
    for (path, words) in [
        (file.as_path(), "config.json: limits: field 'sockets' is not a whole number"),
        (std::path::Path::new("/nowhere/config.json"), "/nowhere/config.json: "),
    ] {
        let output = support::command_in(&["platform"], &[("EDGE_CONFIG", path)]);
        assert_eq!(output.status.code(), Some(2));
        let told = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(told.contains(words), "{told}");
    }
    assert_eq!(support::command(&["platform"]).status.code(), Some(2), "without the variable");
}

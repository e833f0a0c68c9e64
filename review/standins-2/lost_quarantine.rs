//! A gateway is stalled while it verifies its plug-ins; an operator puts a version into quarantine meanwhile.

use crate::common::*;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

/// Content of a version, large enough that verifying it takes a moment.
const LAYER_BYTES: usize = 192 * 1024 * 1024;
const STALL: Duration = Duration::from_secs(32);

pub fn run(case: &Case) -> Fallible<Verdict> {
    let worker = Worker::start("node-1", &case.record, Duration::from_millis(5))?;
    let folder = case.temp.join("plugins");
    let folder_text = folder.to_string_lossy().into_owned();
    let socket = case.temp.join("admin.sock");
    let layer = case.temp.join("fare.layer");
    std::fs::write(&layer, vec![7u8; LAYER_BYTES])?;
    let output = Command::new("sha256sum").arg(&layer).output()?;
    let digest = String::from_utf8_lossy(&output.stdout).split(' ').next().unwrap_or_default().to_string();
    let on_folder = |arguments: &[&str]| -> Fallible<(i32, String)> {
        let mut all = vec!["plugin", "--folder", &folder_text];
        all.extend_from_slice(arguments);
        let (code, output, errors) = run_command(case, &all)?;
        case.record.line(format!("operator: plugin {} -> {code} {output}{errors}", arguments.join(" ")));
        Ok((code, output))
    };
    for version in ["1", "2"] {
        let manifest = format!(
            "{{\"name\":\"fare\",\"version\":\"{version}\",\"class\":\"quote\",\"effect\":\"safe\",\"lanes\":4,\
             \"memory-mb\":42,\"load-ms\":10,\"engine\":\"0.1\",\"layers\":[{{\"digest\":\"sha256:{digest}\",\
             \"size\":{LAYER_BYTES}}}]}}"
        );
        let file = case.write(&format!("fare-{version}.json"), &manifest)?;
        let (code, _) = on_folder(&["push", &file.to_string_lossy(), &layer.to_string_lossy()])?;
        if code != 0 {
            return Err("a version could not be pushed".into());
        }
    }
    on_folder(&["alias", "fare", "current", "2", "--who", "anna"])?;
    let settings = format!(
        "(gateway (name \"gw-1\") (seed 1))\n(mqtt (listen \"127.0.0.1:0\"))\n\
         (class \"quote\" (effect safe) (aim-ms 1500) (deadline-ms 3000) (worth 2) (late-worth 0.1))\n\
         (route \"calls/quote/+\" (class \"quote\") (function \"{{3}}\"))\n\
         (plugins (folder \"{folder_text}\") (admin \"{}\") (scrub-mb-per-s 0))\n\
         (worker \"node-1\" (address \"{}\"))\n",
        socket.display(),
        worker.address
    );
    let file = case.write("site.scm", &settings)?;
    let (gateway, address) = Process::start(case, "gw-1", &["run", &file.to_string_lossy()])?;
    let lock = folder.join("lock");
    let mut admin = UnixStream::connect(&socket)?;
    admin.set_read_timeout(Some(Duration::from_secs(30)))?;
    let mut stalled = false;
    for _ in 0..5 {
        case.record.line("operator: verify, by the admin socket");
        admin.write_all(b"{\"do\":\"verify\"}\n")?;
        if !case.trouble {
            wait_done(case, &admin)?;
            break;
        }
        let until = Instant::now() + Duration::from_secs(5);
        while !lock.exists() && Instant::now() < until {
            thread::sleep(Duration::from_micros(300));
        }
        gateway.signal(SIGSTOP);
        thread::sleep(Duration::from_millis(50));
        stalled = lock.exists();
        if stalled {
            break;
        }
        gateway.signal(SIGCONT);
        wait_done(case, &admin)?;
    }
    if case.trouble {
        if !stalled {
            return Err("the gateway was not caught while it verified".into());
        }
        case.record.line("the gateway stands still while it holds the folder's lock");
        thread::sleep(STALL);
    }
    let (code, _) = on_folder(&["quarantine", "fare@1", "--reason", "quotes a wrong fare"])?;
    if code != 0 {
        return Err("the quarantine was not taken".into());
    }
    if case.trouble {
        gateway.signal(SIGCONT);
        wait_done(case, &admin)?;
    }
    gateway.signal(SIGHUP);
    thread::sleep(Duration::from_secs(1));
    let (_, shown) = on_folder(&["--json", "show", "fare"])?;
    let in_folder = shown.contains("quotes a wrong fare");
    let mut client = Client::connect(address, Version::V5, "desk-1", true, 100)?;
    client.publish(&Publish {
        topic: "calls/quote/fare@1".into(),
        payload: b"call=1".to_vec(),
        id: 1,
        response_topic: Some("replies/desk-1".into()),
        ..Publish::default()
    });
    let until = Instant::now() + Duration::from_secs(4);
    let mut outcome = None;
    while let Some((first, body)) = client.packets.next(until.saturating_duration_since(Instant::now())) {
        if first >> 4 == 3 {
            let answer = Publish::decode(client.version, first, &body).ok_or("an answer cannot be read")?;
            case.record.line(format!(
                "answer to a call of fare@1: {}, version {:?}, reason {:?}",
                answer.user("outcome").unwrap_or("none"), answer.user("version"), answer.user("reason")
            ));
            outcome = answer.user("outcome").map(str::to_string);
            break;
        }
    }
    let ran = worker.runs().len();
    case.record.line(format!("quarantine in the folder: {in_folder}; runs of fare@1: {ran}"));
    if !in_folder || ran > 0 {
        return Ok(Verdict::Broken(format!(
            "the quarantine of fare@1 was taken with exit code 0 and is gone (in the folder: {in_folder}); a call of \
             fare@1 was {} and ran {ran} times",
            outcome.unwrap_or("unanswered".into())
        )));
    }
    Ok(Verdict::Held)
}

fn wait_done(case: &Case, admin: &UnixStream) -> Fallible<()> {
    let mut reader = BufReader::new(admin.try_clone()?);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err("the admin socket ended".into());
        }
        if !line.contains("progress") {
            case.record.line(format!("admin socket: {}", line.trim()));
            return Ok(());
        }
    }
}

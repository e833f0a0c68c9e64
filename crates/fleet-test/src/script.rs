//! Scripts of rehearsals, as S-expressions: who is started, what lies between them, what happens when, what is expected.
//! Everything that can be wrong with a script is found here, with file, line and form, before a process is started.

use crate::link::{Direction, LinkFaultKind};
use slatevalve_sexpr::{Fields, File, Form, FormError};

type Res<T> = Result<T, FormError>;

/// Processes of one group at most.
const MOST: u64 = 2_000;

/// What a group's processes are.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// The list service, the stand-in; with the workers that it lists from the start and what it can take.
    Registry {
        /// Workers listed that no process stands for.
        entries: usize,
        /// Requests a second, a queue, and whether it goes silent beyond; none for one that takes all.
        capacity: Option<(f64, usize, bool)>,
        /// Its faults: from, for so many seconds, and the name of each.
        faults: Vec<(f64, f64, String)>,
    },
    /// A link to a service named before.
    Link {
        /// The service.
        to: String,
        /// What goes wrong: from, for so many seconds.
        faults: Vec<(f64, f64, LinkFaultKind)>,
    },
    /// Relays of the list.
    Relays {
        /// The service that they follow.
        by: String,
    },
    /// Stand-in workers that register themselves.
    Workers {
        /// The service.
        by: String,
    },
    /// Routers.
    Routers {
        /// The services that they ask, the relays among them apart.
        by: Vec<String>,
        /// Relays that they ask first.
        relays: Vec<String>,
        /// More of their settings file.
        settings: String,
        /// More of its `members` form.
        members: String,
        /// How many routers their settings say that there are.
        believe: usize,
        /// Whether they keep the list on disk.
        remember: bool,
        /// Seconds into the rehearsal at which all are started.
        start_s: f64,
    },
}

/// Processes of one kind, named `NAME-0` and on; a single one (a registry, a link) is named just `NAME`.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Its name.
    pub name: String,
    /// How many.
    pub count: usize,
    /// What they are.
    pub kind: Kind,
}

/// What is done to processes.
#[derive(Clone, Debug, PartialEq)]
pub enum ScriptedEvent {
    /// SIGKILL to a drawn part of a group.
    Kill(String, f64),
    /// SIGTERM to a drawn part.
    Terminate(String, f64),
    /// SIGSTOP to a drawn part.
    Pause(String, f64),
    /// SIGCONT to those that stand still.
    GoOn(String),
    /// Those that do not run are started again.
    Start(String),
    /// An operator drains a listed worker.
    Drain(String),
}

/// What has to come of it; what is not named is not checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Expectations {
    /// Every router holds the list within so many seconds of its start.
    pub listed_within_s: Option<f64>,
    /// Each drain is heard by every router that runs and holds a list, within so many milliseconds.
    pub drains_within_ms: Option<f64>,
    /// At most so many requests pass a link in 200 ms; from some second on.
    pub requests: Vec<(String, f64, f64)>,
    /// At most so many connections are made on a link in 200 ms; from some second on.
    pub connections: Vec<(String, f64, f64)>,
    /// At most so many requests a second pass a link, in the mean; from some second on.
    pub steady: Vec<(String, f64, f64)>,
}

/// A rehearsal.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// How long it lasts.
    pub seconds: f64,
    /// Of all that is drawn.
    pub seed: u64,
    /// In the order of their start.
    pub groups: Vec<Group>,
    /// Seconds, and what happens then; in order.
    pub events: Vec<(f64, ScriptedEvent)>,
    /// What has to come of it.
    pub expect: Expectations,
}

impl Script {
    /// Reads a script.
    ///
    /// # Errors
    /// With the place of what is wrong.
    pub fn parse(file: &str, text: &str) -> Res<Self> {
        let file = File::parse(file, text)?;
        let mut top = file.forms()?;
        let name = top.need("name")?.text()?;
        let seconds = top.need("seconds")?.number()?;
        let seed = top.or("seed", 1, |f| f.whole(u64::from(u32::MAX)))?;
        let expect = top.take("expect")?;
        let (faults, events) = (top.take_all("fault"), top.take_all("event"));
        let mut groups: Vec<Group> = Vec::new();
        for form in top.take_rest() {
            let group = group(&form, &groups)?;
            groups.push(group);
        }
        for form in faults {
            fault(&form, &mut groups)?;
        }
        let mut events = events.iter().map(|f| event(f, &groups)).collect::<Res<Vec<_>>>()?;
        events.sort_by(|a, b| a.0.total_cmp(&b.0));
        let expect = expect.map_or(Ok(Expectations::default()), |f| expectations(&f, &groups))?;
        Ok(Script { name, seconds, seed, groups, events, expect })
    }

    /// Routers in all.
    pub fn routers(&self) -> usize {
        self.groups.iter().filter(|g| matches!(g.kind, Kind::Routers { .. })).map(|g| g.count).sum()
    }
}

fn known(form: &Form<'_>, name: String, groups: &[Group], fits: impl Fn(&Kind) -> bool) -> Res<String> {
    match groups.iter().find(|g| g.name == name) {
        Some(group) if fits(&group.kind) => Ok(name),
        Some(_) => Err(form.error(format!("{name} is of another kind"))),
        None => Err(form.error(format!("{name} is not named before"))),
    }
}

fn service(form: &Form<'_>, groups: &[Group]) -> Res<String> {
    known(form, form.text()?, groups, |k| matches!(k, Kind::Registry { .. } | Kind::Link { .. }))
}

fn group(form: &Form<'_>, groups: &[Group]) -> Res<Group> {
    let (name, mut fields) = form.named_fields()?;
    if groups.iter().any(|g| g.name == name) {
        return Err(form.error(format!("{name} is named twice")));
    }
    if !name.chars().all(|c| c.is_ascii_alphanumeric()) || name.is_empty() {
        return Err(form.error("a name is of letters and digits"));
    }
    let mut count = 1;
    let kind = match form.name() {
        "registry" => {
            let entries = fields.or("entries", 0, |f| f.whole(10_000))? as usize;
            Kind::Registry { entries, capacity: capacity(&mut fields)?, faults: Vec::new() }
        }
        "link" => {
            let to = fields.need("to")?;
            // One relay of a group has a name of its own.
            let to = match to.text()?.rsplit_once('-') {
                Some((relays, n)) if n.parse::<usize>().is_ok() => {
                    known(&to, relays.to_string(), groups, |k| matches!(k, Kind::Relays { .. }))?;
                    to.text()?
                }
                _ => service(&to, groups)?,
            };
            Kind::Link { to, faults: Vec::new() }
        }
        "relays" => {
            count = fields.need("count")?.whole(MOST)? as usize;
            Kind::Relays { by: service(&fields.need("by")?, groups)? }
        }
        "workers" => {
            count = fields.need("count")?.whole(MOST)? as usize;
            Kind::Workers { by: service(&fields.need("by")?, groups)? }
        }
        "routers" => {
            count = fields.need("count")?.whole(MOST)? as usize;
            let by = fields.need("by")?;
            let of_list = |k: &Kind| matches!(k, Kind::Registry { .. } | Kind::Link { .. });
            let by_names = by.texts()?.into_iter().map(|n| known(&by, n, groups, of_list));
            let relays = match fields.take("relays")? {
                Some(f) => {
                    let of_relays = |k: &Kind| matches!(k, Kind::Relays { .. } | Kind::Link { .. });
                    f.texts()?.into_iter().map(|n| known(&f, n, groups, of_relays)).collect::<Res<_>>()?
                }
                None => Vec::new(),
            };
            Kind::Routers {
                by: by_names.collect::<Res<_>>()?,
                relays,
                settings: fields.or("settings", String::new(), Form::source)?,
                members: fields.or("members", String::new(), Form::source)?,
                believe: fields.or("believe", count as u64, |f| f.whole(1_000_000))? as usize,
                remember: fields.or("remember", false, Form::flag)?,
                start_s: fields.or("start-s", 0.0, Form::number)?,
            }
        }
        other => return Err(form.error(format!("({other} ...) is not known here"))),
    };
    fields.finish()?;
    Ok(Group { name, count, kind })
}

fn capacity(fields: &mut Fields<'_>) -> Res<Option<(f64, usize, bool)>> {
    let Some(form) = fields.take("capacity")? else { return Ok(None) };
    let mut of = form.fields()?;
    let rate = of.need("requests-per-second")?.number()?;
    let queue = of.or("queue", 100, |f| f.whole(1_000_000))? as usize;
    let silent = of.or("silent", false, Form::flag)?;
    of.finish()?;
    if rate <= 0.0 {
        return Err(form.error("a service that takes nothing has no capacity to state"));
    }
    Ok(Some((rate, queue, silent)))
}

fn times(fields: &mut Fields<'_>) -> Res<(f64, f64)> {
    Ok((fields.need("at-s")?.number()?, fields.need("for-s")?.number()?))
}

fn micros(fields: &mut Fields<'_>, name: &str) -> Res<i64> {
    Ok(fields.take(name)?.map(|f| f.millis()).transpose()?.map_or(0, |m| m.0))
}

fn way(form: &Form<'_>, text: &str) -> Res<Direction> {
    match text {
        "questions" => Ok(Direction::Questions),
        "answers" => Ok(Direction::Answers),
        "both" => Ok(Direction::Both),
        other => Err(form.error(format!("expected questions, answers or both, found {other}"))),
    }
}

/// Reads a fault and puts it where it belongs.
fn fault(form: &Form<'_>, groups: &mut [Group]) -> Res<()> {
    let mut fields = form.fields()?;
    let (at, lasts) = times(&mut fields)?;
    if let Some(of) = fields.take("registry")? {
        let name = known(&of, of.text()?, groups, |k| matches!(k, Kind::Registry { .. }))?;
        let kind = fields.need("kind")?.text()?;
        const KINDS: [&str; 5] = ["break", "stall", "lose", "compact", "restore"];
        if !KINDS.contains(&kind.as_str()) {
            return Err(form.error(format!("expected one of {}, found {kind}", KINDS.join(", "))));
        }
        fields.finish()?;
        for group in groups.iter_mut().filter(|g| g.name == name) {
            if let Kind::Registry { faults, .. } = &mut group.kind {
                faults.push((at, lasts, kind.clone()));
            }
        }
        return Ok(());
    }
    let of = fields.need("link")?;
    let name = known(&of, of.text()?, groups, |k| matches!(k, Kind::Link { .. }))?;
    let rest = fields.take_rest();
    let [what] = rest.as_slice() else { return Err(form.error("expected one thing that goes wrong")) };
    let kind = match what.name() {
        "drop" => LinkFaultKind::Drop(way(what, &what.text()?)?),
        "reset" => LinkFaultKind::Reset,
        "refuse" => LinkFaultKind::Refuse,
        "delay" => {
            let mut of = what.fields()?;
            let by_us = of.need("ms")?.millis()?.0;
            let jitter_us = micros(&mut of, "jitter-ms")?;
            let growing_us = micros(&mut of, "growing-ms")?;
            let way = of.take("way")?.map_or(Ok(Direction::Both), |f| way(&f, &f.text()?))?;
            of.finish()?;
            LinkFaultKind::Delay { way, by_us, jitter_us, growing_us }
        }
        "slow" => {
            let mut of = what.fields()?;
            let bytes_per_s = of.need("bytes-per-second")?.number()?;
            let way = of.take("way")?.map_or(Ok(Direction::Both), |f| way(&f, &f.text()?))?;
            of.finish()?;
            LinkFaultKind::Slow { way, bytes_per_s }
        }
        other => return Err(what.error(format!("({other} ...) does not go wrong with a link"))),
    };
    for group in groups.iter_mut().filter(|g| g.name == name) {
        if let Kind::Link { faults, .. } = &mut group.kind {
            faults.push((at, lasts, kind.clone()));
        }
    }
    Ok(())
}

fn event(form: &Form<'_>, groups: &[Group]) -> Res<(f64, ScriptedEvent)> {
    let mut fields = form.fields()?;
    let at = fields.need("at-s")?.number()?;
    let rest = fields.take_rest();
    let [what] = rest.as_slice() else { return Err(form.error("expected one thing that happens")) };
    if what.name() == "drain" {
        return Ok((at, ScriptedEvent::Drain(what.text()?)));
    }
    let (name, mut of) = what.named_fields()?;
    let name = known(what, name, groups, |_| true)?;
    let mut part = || -> Res<f64> {
        let part = of.or("part", 1.0, Form::number)?;
        let good = (0.0..=1.0).contains(&part);
        good.then_some(part).ok_or_else(|| what.error("a part lies between 0 and 1"))
    };
    let happens = match what.name() {
        "kill" => ScriptedEvent::Kill(name, part()?),
        "terminate" => ScriptedEvent::Terminate(name, part()?),
        "pause" => ScriptedEvent::Pause(name, part()?),
        "go-on" => ScriptedEvent::GoOn(name),
        "start" => ScriptedEvent::Start(name),
        other => return Err(what.error(format!("({other} ...) does not happen here"))),
    };
    of.finish()?;
    Ok((at, happens))
}

fn expectations(form: &Form<'_>, groups: &[Group]) -> Res<Expectations> {
    let mut fields = form.fields()?;
    let number = |f: Option<Form<'_>>| f.map(|f| f.number()).transpose();
    let listed_within_s = number(fields.take("listed-within-s")?)?;
    let drains_within_ms = number(fields.take("drains-within-ms")?)?;
    let most = |form: &Form<'_>| -> Res<(String, f64, f64)> {
        let (name, mut of) = form.named_fields()?;
        let name = known(form, name, groups, |k| matches!(k, Kind::Link { .. }))?;
        let (most, from) = (of.need("most")?.number()?, of.or("from-s", 0.0, Form::number)?);
        of.finish()?;
        Ok((name, most, from))
    };
    let all = |forms: Vec<Form<'_>>| forms.iter().map(most).collect::<Res<Vec<_>>>();
    let requests = all(fields.take_all("requests-in-200ms"))?;
    let connections = all(fields.take_all("connections-in-200ms"))?;
    let steady = all(fields.take_all("steady-requests-per-second"))?;
    fields.finish()?;
    Ok(Expectations { listed_within_s, drains_within_ms, requests, connections, steady })
}

/// The name of one process of a group.
pub(crate) fn process_name(group: &Group, n: usize) -> String {
    match group.kind {
        Kind::Registry { .. } | Kind::Link { .. } => group.name.clone(),
        _ => format!("{}-{n}", group.name),
    }
}

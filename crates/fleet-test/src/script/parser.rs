//! The parser of scripts. The order in which forms are read decides which of several errors is reported.

use super::{
    Expectations, Group, GroupKind, GroupSample, LinkLimit, RegistryCapacity, RegistryFault, RouterGroup,
    Script, ScriptedEvent, TimedEvent, TimedFault,
};
use crate::link::{Direction, LinkFaultKind};
use slatevalve_sexpr::{Fields, File, Form, FormError};

type FormResult<T> = Result<T, FormError>;

/// The largest number of processes in one group.
const MAX_GROUP_SIZE: u64 = 2_000;
/// The largest number of listed workers without a process.
const MAX_REGISTRY_ENTRIES: u64 = 10_000;
/// The queue length of a registry whose script states none.
const DEFAULT_REGISTRY_QUEUE: usize = 100;
/// The largest queue of a registry, and the largest number of routers that settings may state.
const MAX_COUNT: u64 = 1_000_000;

impl Script {
    /// Parses a script; `file` is its name in error messages.
    ///
    /// # Errors
    /// [`FormError`] with file, line and form of the first error.
    pub fn parse(file: &str, text: &str) -> FormResult<Self> {
        let file = File::parse(file, text)?;
        let mut top = file.forms()?;
        let name = top.need("name")?.text()?;
        let seconds = top.need("seconds")?.number()?;
        let seed = top.or("seed", 1, |form| form.whole(u64::from(u32::MAX)))?;
        let expect = top.take("expect")?;
        let (faults, events) = (top.take_all("fault"), top.take_all("event"));
        let mut groups: Vec<Group> = Vec::new();
        for form in top.take_rest() {
            let group = parse_group(&form, &groups)?;
            groups.push(group);
        }
        for form in faults {
            parse_fault(&form, &mut groups)?;
        }
        let mut events =
            events.iter().map(|form| parse_event(form, &groups)).collect::<FormResult<Vec<_>>>()?;
        events.sort_by(|left, right| left.at_s.total_cmp(&right.at_s));
        let expectations =
            expect.map_or(Ok(Expectations::default()), |form| parse_expectations(&form, &groups))?;
        Ok(Script { name, seconds, seed, groups, events, expectations })
    }
}

fn is_service(kind: &GroupKind) -> bool {
    matches!(kind, GroupKind::Registry { .. } | GroupKind::Link { .. })
}

/// Checks that a reference names an earlier group of a suitable kind; returns the name.
fn check_reference(
    form: &Form<'_>,
    name: String,
    groups: &[Group],
    is_suitable: impl Fn(&GroupKind) -> bool,
) -> FormResult<String> {
    match groups.iter().find(|group| group.name == name) {
        Some(group) if is_suitable(&group.kind) => Ok(name),
        Some(_) => Err(form.error(format!("group {name} is of a kind that cannot be used here"))),
        None => Err(form.error(format!("group {name} is not defined before this form"))),
    }
}

/// Parses a reference to a registry or a link.
fn parse_service(form: &Form<'_>, groups: &[Group]) -> FormResult<String> {
    check_reference(form, form.text()?, groups, is_service)
}

/// Parses a list of references.
fn parse_references(
    form: &Form<'_>,
    groups: &[Group],
    is_suitable: impl Fn(&GroupKind) -> bool,
) -> FormResult<Vec<String>> {
    form.texts()?.into_iter().map(|name| check_reference(form, name, groups, &is_suitable)).collect()
}

fn parse_group(form: &Form<'_>, groups: &[Group]) -> FormResult<Group> {
    let (name, mut fields) = form.named_fields()?;
    if groups.iter().any(|group| group.name == name) {
        return Err(form.error(format!("group {name} is defined twice")));
    }
    if !name.chars().all(|character| character.is_ascii_alphanumeric()) || name.is_empty() {
        return Err(form.error(format!("invalid group name {name:?}: expected letters and digits")));
    }
    let (count, kind) = match form.name() {
        "registry" => (1, parse_registry(&mut fields)?),
        "link" => (1, parse_link(&mut fields, groups)?),
        "relays" => {
            let count = parse_count(&mut fields)?;
            (count, GroupKind::Relays { service: parse_service(&fields.need("by")?, groups)? })
        }
        "workers" => {
            let count = parse_count(&mut fields)?;
            (count, GroupKind::Workers { service: parse_service(&fields.need("by")?, groups)? })
        }
        "routers" => {
            let count = parse_count(&mut fields)?;
            (count, GroupKind::Routers(parse_routers(&mut fields, groups, count)?))
        }
        other => return Err(form.error(format!("({other} ...) is not known here"))),
    };
    fields.finish()?;
    Ok(Group { name, count, kind })
}

fn parse_count(fields: &mut Fields<'_>) -> FormResult<usize> {
    Ok(fields.need("count")?.whole(MAX_GROUP_SIZE)? as usize)
}

fn parse_registry(fields: &mut Fields<'_>) -> FormResult<GroupKind> {
    let entries = fields.or("entries", 0, |form| form.whole(MAX_REGISTRY_ENTRIES))? as usize;
    Ok(GroupKind::Registry { entries, capacity: parse_capacity(fields)?, faults: Vec::new() })
}

fn parse_capacity(fields: &mut Fields<'_>) -> FormResult<Option<RegistryCapacity>> {
    let Some(form) = fields.take("capacity")? else { return Ok(None) };
    let mut fields = form.fields()?;
    let requests_per_second = fields.need("requests-per-second")?.number()?;
    let queue = fields.or("queue", DEFAULT_REGISTRY_QUEUE as u64, |form| form.whole(MAX_COUNT))? as usize;
    let drops_overflow = fields.or("silent", false, Form::flag)?;
    fields.finish()?;
    if requests_per_second <= 0.0 {
        return Err(form.error(format!("requests-per-second must be above 0, found {requests_per_second}")));
    }
    Ok(Some(RegistryCapacity { requests_per_second, queue, drops_overflow }))
}

fn parse_link(fields: &mut Fields<'_>, groups: &[Group]) -> FormResult<GroupKind> {
    let form = fields.need("to")?;
    // A link may forward to a single relay of a group, by the name of its process.
    let to = match form.text()?.rsplit_once('-') {
        Some((relays, index)) if index.parse::<usize>().is_ok() => {
            check_reference(&form, relays.to_string(), groups, |kind| {
                matches!(kind, GroupKind::Relays { .. })
            })?;
            form.text()?
        }
        _ => parse_service(&form, groups)?,
    };
    Ok(GroupKind::Link { to, faults: Vec::new() })
}

fn parse_routers(fields: &mut Fields<'_>, groups: &[Group], count: usize) -> FormResult<RouterGroup> {
    let is_relay = |kind: &GroupKind| matches!(kind, GroupKind::Relays { .. } | GroupKind::Link { .. });
    let services = fields.need("by")?;
    let service_names = services.texts()?;
    let relays = match fields.take("relays")? {
        Some(form) => parse_references(&form, groups, is_relay)?,
        None => Vec::new(),
    };
    let services = service_names.into_iter().map(|name| check_reference(&services, name, groups, is_service));
    Ok(RouterGroup {
        services: services.collect::<FormResult<_>>()?,
        relays,
        settings: fields.or("settings", String::new(), Form::source)?,
        members: fields.or("members", String::new(), Form::source)?,
        stated_routers: fields.or("believe", count as u64, |form| form.whole(MAX_COUNT))? as usize,
        stores_list: fields.or("remember", false, Form::flag)?,
        start_s: fields.or("start-s", 0.0, Form::number)?,
    })
}

/// Parses a fault and adds it to its registry or link.
fn parse_fault(form: &Form<'_>, groups: &mut [Group]) -> FormResult<()> {
    let mut fields = form.fields()?;
    let at_s = fields.need("at-s")?.number()?;
    let duration_s = fields.need("for-s")?.number()?;
    if let Some(target) = fields.take("registry")? {
        let name =
            check_reference(&target, target.text()?, groups, |k| matches!(k, GroupKind::Registry { .. }))?;
        let kind = parse_registry_fault(form, &fields.need("kind")?.text()?)?;
        fields.finish()?;
        for group in groups.iter_mut().filter(|group| group.name == name) {
            if let GroupKind::Registry { faults, .. } = &mut group.kind {
                faults.push(TimedFault { at_s, duration_s, kind });
            }
        }
        return Ok(());
    }
    let target = fields.need("link")?;
    let name = check_reference(&target, target.text()?, groups, |k| matches!(k, GroupKind::Link { .. }))?;
    let kinds = fields.take_rest();
    let [kind] = kinds.as_slice() else {
        return Err(form.error(format!("expected exactly one fault, found {}", kinds.len())));
    };
    let kind = parse_link_fault(kind)?;
    for group in groups.iter_mut().filter(|group| group.name == name) {
        if let GroupKind::Link { faults, .. } = &mut group.kind {
            faults.push(TimedFault { at_s, duration_s, kind: kind.clone() });
        }
    }
    Ok(())
}

fn parse_registry_fault(form: &Form<'_>, name: &str) -> FormResult<RegistryFault> {
    match name {
        "break" => Ok(RegistryFault::Break),
        "stall" => Ok(RegistryFault::Stall),
        "lose" => Ok(RegistryFault::Lose),
        "compact" => Ok(RegistryFault::Compact),
        "restore" => Ok(RegistryFault::Restore),
        other => {
            Err(form.error(format!("expected one of break, stall, lose, compact, restore, found {other}")))
        }
    }
}

fn parse_link_fault(form: &Form<'_>) -> FormResult<LinkFaultKind> {
    match form.name() {
        "drop" => Ok(LinkFaultKind::Drop(parse_direction(form, &form.text()?)?)),
        "reset" => Ok(LinkFaultKind::Reset),
        "refuse" => Ok(LinkFaultKind::Refuse),
        "delay" => {
            let mut fields = form.fields()?;
            let by_us = fields.need("ms")?.millis()?.0;
            let jitter_us = parse_micros(&mut fields, "jitter-ms")?;
            let growing_us = parse_micros(&mut fields, "growing-ms")?;
            let direction = parse_optional_direction(&mut fields)?;
            fields.finish()?;
            Ok(LinkFaultKind::Delay { direction, by_us, jitter_us, growing_us })
        }
        "slow" => {
            let mut fields = form.fields()?;
            let bytes_per_s = fields.need("bytes-per-second")?.number()?;
            let direction = parse_optional_direction(&mut fields)?;
            fields.finish()?;
            Ok(LinkFaultKind::Slow { direction, bytes_per_s })
        }
        other => Err(form.error(format!("({other} ...) is not a fault of a link"))),
    }
}

/// Parses milliseconds as microseconds; 0 where the field is absent.
fn parse_micros(fields: &mut Fields<'_>, name: &str) -> FormResult<i64> {
    Ok(fields.take(name)?.map(|form| form.millis()).transpose()?.map_or(0, |micros| micros.0))
}

fn parse_optional_direction(fields: &mut Fields<'_>) -> FormResult<Direction> {
    match fields.take("way")? {
        Some(form) => parse_direction(&form, &form.text()?),
        None => Ok(Direction::Both),
    }
}

fn parse_direction(form: &Form<'_>, text: &str) -> FormResult<Direction> {
    match text {
        "questions" => Ok(Direction::Requests),
        "answers" => Ok(Direction::Responses),
        "both" => Ok(Direction::Both),
        other => Err(form.error(format!("expected questions, answers or both, found {other}"))),
    }
}

fn parse_event(form: &Form<'_>, groups: &[Group]) -> FormResult<TimedEvent> {
    let mut fields = form.fields()?;
    let at_s = fields.need("at-s")?.number()?;
    let kinds = fields.take_rest();
    let [kind] = kinds.as_slice() else {
        return Err(form.error(format!("expected exactly one event, found {}", kinds.len())));
    };
    if kind.name() == "drain" {
        return Ok(TimedEvent { at_s, event: ScriptedEvent::Drain(kind.text()?) });
    }
    let (group, mut fields) = kind.named_fields()?;
    let group = check_reference(kind, group, groups, |_| true)?;
    let event = match kind.name() {
        "kill" => ScriptedEvent::Kill(parse_sample(kind, &mut fields, group)?),
        "terminate" => ScriptedEvent::Terminate(parse_sample(kind, &mut fields, group)?),
        "pause" => ScriptedEvent::Pause(parse_sample(kind, &mut fields, group)?),
        "go-on" => ScriptedEvent::Resume(group),
        "start" => ScriptedEvent::Start(group),
        other => return Err(kind.error(format!("({other} ...) is not an event"))),
    };
    fields.finish()?;
    Ok(TimedEvent { at_s, event })
}

fn parse_sample(form: &Form<'_>, fields: &mut Fields<'_>, group: String) -> FormResult<GroupSample> {
    let share = fields.or("part", 1.0, Form::number)?;
    if !(0.0..=1.0).contains(&share) {
        return Err(form.error(format!("part must be from 0 to 1, found {share}")));
    }
    Ok(GroupSample { group, share })
}

fn parse_expectations(form: &Form<'_>, groups: &[Group]) -> FormResult<Expectations> {
    let mut fields = form.fields()?;
    let number = |form: Option<Form<'_>>| form.map(|form| form.number()).transpose();
    let listed_within_s = number(fields.take("listed-within-s")?)?;
    let drains_within_ms = number(fields.take("drains-within-ms")?)?;
    let limits = |forms: Vec<Form<'_>>| -> FormResult<Vec<LinkLimit>> {
        forms.iter().map(|form| parse_limit(form, groups)).collect()
    };
    let peak_requests = limits(fields.take_all("requests-in-200ms"))?;
    let peak_connections = limits(fields.take_all("connections-in-200ms"))?;
    let mean_request_rates = limits(fields.take_all("steady-requests-per-second"))?;
    fields.finish()?;
    Ok(Expectations {
        listed_within_s,
        drains_within_ms,
        peak_requests,
        peak_connections,
        mean_request_rates,
    })
}

fn parse_limit(form: &Form<'_>, groups: &[Group]) -> FormResult<LinkLimit> {
    let (link, mut fields) = form.named_fields()?;
    let link = check_reference(form, link, groups, |kind| matches!(kind, GroupKind::Link { .. }))?;
    let limit = fields.need("most")?.number()?;
    let from_s = fields.or("from-s", 0.0, Form::number)?;
    fields.finish()?;
    Ok(LinkLimit { link, limit, from_s })
}

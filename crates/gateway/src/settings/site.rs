//! All settings of a gateway, read from a file or from a document with a router's own forms.

use super::balancer::{balancer, duplicates, Functions};
use super::classes::Declarations;
use super::forms::{header_text, read_text, whole, Res};
use super::mqtt::{bridge, BridgeContext, MqttForm};
use super::pool::PoolForm;
use super::{members, plugins, workers, MemberSource, Named, PluginSettings, PoolSettings, WorkerLine};
use crate::clock::Clock;
use slatevalve::{LoadReportSource, Micros, Settings, Weights, ZoneId};
use slatevalve_engine::EngineSettings;
use slatevalve_mqtt::{BridgeSettings, FrontSettings};
use slatevalve_plugins::ClassRights;
use slatevalve_sexpr::{Fields, File, Form};
use std::net::SocketAddr;
use std::path::Path;

/// The step of the load balancer's clock.
const BALANCER_STEP: Micros = Micros(1_000);
/// The default margin before a deadline in which an answer still reaches the client.
const DEFAULT_ANSWER_MARGIN: Micros = Micros(20_000);
/// The default time that an orderly shutdown may take.
const DEFAULT_STOP_WITHIN: Micros = Micros(5_000_000);

/// All settings of one gateway.
#[derive(Clone, Debug)]
pub struct Site {
    /// The gateway's name, as workers see it.
    pub name: String,
    /// Where MQTT clients connect; port 0 lets the kernel choose.
    pub listen: SocketAddr,
    /// For the engine and the load balancer in it.
    pub engine: EngineSettings,
    /// For the MQTT front end.
    pub front: FrontSettings,
    /// The broker to connect to, and how, if there is one.
    pub bridge: Option<(SocketAddr, BridgeSettings)>,
    /// Names of the classes, in the order of their ids.
    pub classes: Vec<String>,
    /// The effect of each class, and the classes that each tenant may use.
    pub rights: ClassRights,
    /// The worker list.
    pub workers: Vec<WorkerLine>,
    /// The source of further workers while the gateway runs.
    pub members: Option<MemberSource>,
    /// Connections to workers.
    pub pool: PoolSettings,
    /// The largest body of a worker's response, in bytes.
    pub max_response: usize,
    /// Plug-ins, if there are any.
    pub plugins: Option<PluginSettings>,
    /// How long an orderly shutdown may take.
    pub stop_within: Micros,
    /// The gateway's own zone.
    pub zone: String,
    /// The zones and kinds that the file names.
    pub named: Named,
    /// The tenants' names, in the order of their ids.
    pub tenants: Vec<String>,
    /// Numbers of the settings documents in force; none for a file.
    pub documents: Vec<u64>,
}

impl Site {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// The first fault, with file, line and form.
    pub fn load(path: &Path, clock: &Clock, named: Named) -> Res<Self> {
        let (name, text) = read_text(path)?;
        Site::parse(&name, &text, clock, named)
    }

    /// Reads and checks the text of a settings file.
    ///
    /// # Errors
    /// The first fault, with file, line and form.
    pub fn parse(file: &str, text: &str, clock: &Clock, named: Named) -> Res<Self> {
        Site::of_forms(File::parse(file, text)?.forms()?, clock, named)
    }

    /// Reads and checks the forms of a settings file.
    pub(super) fn of_forms(mut top: Fields<'_>, clock: &Clock, mut named: Named) -> Res<Self> {
        let mut gateway = top.need("gateway")?.fields()?;
        let name = gateway.or("name", "gateway".to_string(), header_text)?;
        let zone = gateway.or("zone", "default".to_string(), Form::text)?;
        let zone_id = ZoneId(named.zones.number_of(&zone));
        let declared = Declarations::read(&mut top)?;
        let shared = balancer(&mut top, &mut named.kinds)?;
        let workers = workers::workers(&mut top, &mut named, clock)?;
        let balancer = complete_balancer(&mut gateway, zone_id, &declared, &workers, shared)?;
        let routes = declared.routes(&mut top)?;
        let engine = engine(&mut top, &mut gateway, balancer, &declared)?;
        let stop_within = gateway.or("stop-within-ms", DEFAULT_STOP_WITHIN, Form::millis)?;
        gateway.finish()?;
        let context = BridgeContext {
            routes: &routes,
            has_unsafe_class: declared.has_unsafe_class(),
            seed: engine.seed,
        };
        let bridge = bridge(&mut top, &context)?;
        let MqttForm { listen, front } = MqttForm::read(&mut top, routes)?;
        let rights = declared.rights();
        let PoolForm { settings: pool, max_response } = PoolForm::read(&mut top)?;
        let plugins = plugins::plugins(&mut top, rights.clone(), engine.seed)?;
        let members = members::members(&mut top, engine.seed, &name, engine.balancer.routers)?;
        check_one_source(&top, members.as_ref(), &workers)?;
        top.finish()?;
        let (classes, tenants) = declared.into_names();
        Ok(Site {
            name,
            listen,
            engine,
            front,
            bridge,
            classes,
            rights,
            workers,
            members,
            pool,
            max_response,
            plugins,
            stop_within,
            zone,
            named,
            tenants,
            documents: Vec::new(),
        })
    }
}

/// The load balancer's settings.
fn complete_balancer(
    gateway: &mut Fields<'_>,
    zone: ZoneId,
    declared: &Declarations,
    workers: &[WorkerLine],
    shared: Settings,
) -> Res<Settings> {
    Ok(Settings {
        routers: whole(gateway, "routers", 1, 1_000_000)?,
        zone,
        timer_resolution: BALANCER_STEP,
        classes: declared.classes.iter().map(|class| class.class.clone()).collect(),
        tenants: declared.tenants.iter().map(|tenant| tenant.tenant.clone()).collect(),
        weights: weights(workers),
        reports: LoadReportSource::Answers,
        ..shared
    })
}

/// Workers come from the file or from a member source, not from both.
fn check_one_source(top: &Fields<'_>, members: Option<&MemberSource>, workers: &[WorkerLine]) -> Res<()> {
    if members.is_some() && !workers.is_empty() {
        return Err(
            top.error("(members ...) and (worker ...) do not stand together: the list has one source")
        );
    }
    Ok(())
}

/// Workers are weighted by size if the list gives one of them a weight.
fn weights(workers: &[WorkerLine]) -> Weights {
    if workers.iter().any(|worker| worker.entry.weight != 1.0) {
        Weights::Size
    } else {
        Weights::None
    }
}

fn engine(
    top: &mut Fields<'_>,
    gateway: &mut Fields<'_>,
    balancer: Settings,
    declared: &Declarations,
) -> Res<EngineSettings> {
    let functions = Functions::read(top)?;
    Ok(EngineSettings {
        balancer,
        seed: whole(gateway, "seed", 1, u64::from(u32::MAX))?,
        classes: declared.policies(),
        key_spaces: Vec::new(),
        functions: functions.named,
        other_functions: functions.other,
        duplicates: Some(duplicates(top)?),
        answer_margin: gateway.or("answer-margin-ms", DEFAULT_ANSWER_MARGIN, Form::millis)?,
        max_open_calls: whole(gateway, "max-open", 20_000, 10_000_000)?,
        max_function_names: whole(gateway, "max-functions", 65_536, 10_000_000)?,
    })
}

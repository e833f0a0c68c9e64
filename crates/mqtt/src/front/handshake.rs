//! CONNECT and CONNACK: creates, resumes or takes over a session, or refuses the connection.

use super::connection::{DeadlineKind, Stage};
use super::{Front, FrontOutput, LinkId};
use crate::publish::Version;
use crate::session::Session;
use mqtt_protocol_core::mqtt::packet::{
    v3_1_1, v5_0, AssignedClientIdentifier, MaximumPacketSize, Packet, Property, ReceiveMaximum,
    RetainAvailable, ServerKeepAlive, SessionExpiryInterval, SharedSubscriptionAvailable,
    SubscriptionIdentifierAvailable, TopicAliasMaximum, WildcardSubscriptionAvailable,
};
use mqtt_protocol_core::mqtt::result_code::{
    ConnectReasonCode, ConnectReturnCode, DisconnectReasonCode, MqttError,
};
use slatevalve::Micros;
use slatevalve_engine::ClientRef;
use tracing::{debug, info};

/// A CONNECT of either version.
pub(super) struct ConnectRequest {
    version: Version,
    /// Empty if the server must assign one.
    client_id: String,
    /// Whether to discard an earlier session.
    clean: bool,
    expiry: Micros,
    /// In seconds; 0 for none.
    keep_alive: u16,
    has_will: bool,
}

impl From<&v5_0::Connect> for ConnectRequest {
    fn from(connect: &v5_0::Connect) -> Self {
        let expiry = connect.props().iter().find_map(|property| match property {
            Property::SessionExpiryInterval(seconds) => Some(seconds.val()),
            _ => None,
        });
        ConnectRequest {
            version: Version::V5,
            client_id: connect.client_id().to_string(),
            clean: connect.clean_start(),
            expiry: Micros(i64::from(expiry.unwrap_or(0)) * 1_000_000),
            keep_alive: connect.keep_alive(),
            has_will: connect.will_flag(),
        }
    }
}

impl From<&v3_1_1::Connect> for ConnectRequest {
    fn from(connect: &v3_1_1::Connect) -> Self {
        ConnectRequest {
            version: Version::V3,
            client_id: connect.client_id().to_string(),
            clean: connect.clean_session(),
            expiry: if connect.clean_session() { Micros(0) } else { Micros(i64::MAX) },
            keep_alive: connect.keep_alive(),
            has_will: connect.will_flag(),
        }
    }
}

impl ConnectRequest {
    /// Whether the request resumes the session of its client id.
    fn resumes(&self, session: &Session) -> bool {
        !self.clean && session.version == self.version
    }
}

/// Why a connection is refused.
#[derive(Clone, Copy, Debug)]
enum RefusalReason {
    /// The client id is empty, which version 3.1.1 allows only with a clean session.
    ClientId,
    /// The maximum number of sessions is reached.
    Full,
    /// The gateway stops.
    Stopping,
}

impl RefusalReason {
    fn v5_code(self) -> ConnectReasonCode {
        match self {
            RefusalReason::ClientId => ConnectReasonCode::ClientIdentifierNotValid,
            RefusalReason::Full => ConnectReasonCode::ServerBusy,
            RefusalReason::Stopping => ConnectReasonCode::ServerUnavailable,
        }
    }

    fn v3_code(self) -> ConnectReturnCode {
        match self {
            RefusalReason::ClientId => ConnectReturnCode::IdentifierRejected,
            RefusalReason::Full | RefusalReason::Stopping => ConnectReturnCode::ServerUnavailable,
        }
    }
}

/// The parts of a CONNACK that depend on the session.
struct Accepted<'a> {
    session_present: bool,
    /// The client id, if the server assigned it.
    assigned_id: Option<&'a str>,
    /// The session's expiry after applying the maximum.
    expiry: Micros,
}

impl Front {
    pub(super) fn handle_connect(
        &mut self,
        now: Micros,
        id: LinkId,
        request: &ConnectRequest,
        out: &mut Vec<FrontOutput>,
    ) {
        let is_assigned = request.client_id.is_empty();
        if is_assigned && request.version == Version::V3 && !request.clean {
            return self.refuse_connection(now, id, request.version, RefusalReason::ClientId, out);
        }
        let client_id = if is_assigned { self.assign_client_id() } else { request.client_id.clone() };
        if self.stopped_accepting_at.is_some() && !self.resumes_owed_session(&client_id, request) {
            return self.refuse_connection(now, id, request.version, RefusalReason::Stopping, out);
        }
        if !self.clients_by_id.contains_key(&client_id) && self.sessions.len() >= self.settings.max_sessions {
            return self.refuse_connection(now, id, request.version, RefusalReason::Full, out);
        }
        if request.has_will {
            debug!(link = id.0, "will message ignored: wills are not supported");
        }
        self.disconnect_predecessor(now, &client_id, out);
        let resumed = self.resumable_session(&client_id, request, out);
        let client = resumed.unwrap_or_else(|| self.create_session(&client_id, request.version));
        let expiry = request.expiry.min(self.settings.max_session_expiry);
        self.attach(now, id, client, expiry);
        let accepted = Accepted {
            session_present: resumed.is_some(),
            assigned_id: is_assigned.then_some(client_id.as_str()),
            expiry,
        };
        let connack = self.connack(request, &accepted);
        self.send_required(now, id, connack, out);
        // Version 3.1.1 has no server keep-alive; the client's own applies, or none.
        self.send_outbox(now, client, out);
    }

    /// Assigns a client id that no session has (section 3.1.3.1).
    fn assign_client_id(&mut self) -> String {
        loop {
            self.assigned_ids += 1;
            let client_id = format!("slatevalve-{}-{}", self.settings.instance, self.assigned_ids);
            if !self.clients_by_id.contains_key(&client_id) {
                return client_id;
            }
        }
    }

    /// Closes the client's existing connection, because the new one takes over its session (section 3.1.4).
    fn disconnect_predecessor(&mut self, now: Micros, client_id: &str, out: &mut Vec<FrontOutput>) {
        let client = self.clients_by_id.get(client_id);
        let session = client.and_then(|client| self.sessions.get(client));
        if let Some(predecessor) = session.and_then(|session| session.connection) {
            self.disconnect(now, predecessor, DisconnectReasonCode::SessionTakenOver, out);
        }
    }

    /// Whether the request resumes a session whose client is owed something.
    fn resumes_owed_session(&self, client_id: &str, request: &ConnectRequest) -> bool {
        let client = self.clients_by_id.get(client_id);
        let session = client.and_then(|client| self.sessions.get(client));
        session.is_some_and(|session| request.resumes(session) && session.is_owed())
    }

    /// Returns the client's session if the request resumes it; removes a session that is not resumed.
    fn resumable_session(
        &mut self,
        client_id: &str,
        request: &ConnectRequest,
        out: &mut Vec<FrontOutput>,
    ) -> Option<ClientRef> {
        let client = self.clients_by_id.get(client_id).copied()?;
        if self.sessions.get(&client).is_some_and(|session| request.resumes(session)) {
            return Some(client);
        }
        self.remove_session(client, out);
        None
    }

    fn create_session(&mut self, client_id: &str, version: Version) -> ClientRef {
        let client = self.ticket_source.client();
        self.sessions
            .insert(client, Session::new(client, client_id.into(), version, self.settings.receive_maximum));
        self.clients_by_id.insert(client_id.into(), client);
        client
    }

    /// Attaches a session to a connection.
    fn attach(&mut self, now: Micros, id: LinkId, client: ClientRef, expiry: Micros) {
        let Some(session) = self.sessions.get_mut(&client) else { return };
        session.connection = Some(id);
        session.expiry = expiry;
        session.expires_at = None;
        let opened_at = self.connections.get(&id).map_or(now, |connection| connection.opened_at);
        session.redeliveries.connected(opened_at);
        session.accepted.connected(opened_at);
        let stored = std::mem::take(&mut session.stored);
        let received_qos2 = session.received_qos2.clone();
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.stage = Stage::Open(client);
            connection.mqtt.restore_packets(stored);
            connection.mqtt.restore_qos2_publish_handled(received_qos2.into_iter().collect());
            connection.deadline =
                connection.deadline.filter(|deadline| !matches!(deadline.kind, DeadlineKind::Connect));
        }
    }

    fn connack(&self, request: &ConnectRequest, accepted: &Accepted<'_>) -> Result<Packet, MqttError> {
        match request.version {
            Version::V3 => {
                let builder = v3_1_1::Connack::builder().return_code(ConnectReturnCode::Accepted);
                Ok(builder.session_present(accepted.session_present).build()?.into())
            }
            Version::V5 => {
                let properties = self.connack_properties(request, accepted)?;
                let builder = v5_0::Connack::builder().reason_code(ConnectReasonCode::Success);
                Ok(builder.session_present(accepted.session_present).props(properties).build()?.into())
            }
        }
    }

    fn connack_properties(
        &self,
        request: &ConnectRequest,
        accepted: &Accepted<'_>,
    ) -> Result<Vec<Property>, MqttError> {
        let settings = &self.settings;
        let mut properties: Vec<Property> = vec![
            MaximumPacketSize::new(settings.max_packet.max(1))?.into(),
            TopicAliasMaximum::new(settings.topic_alias_maximum)?.into(),
            RetainAvailable::new(0)?.into(),
            WildcardSubscriptionAvailable::new(0)?.into(),
            SubscriptionIdentifierAvailable::new(0)?.into(),
            SharedSubscriptionAvailable::new(0)?.into(),
        ];
        if settings.receive_maximum < u16::MAX {
            properties.push(ReceiveMaximum::new(settings.receive_maximum.max(1))?.into());
        }
        if accepted.expiry != request.expiry {
            let seconds = u32::try_from(accepted.expiry.0 / 1_000_000).unwrap_or(u32::MAX);
            properties.push(SessionExpiryInterval::new(seconds)?.into());
        }
        if let Some(client_id) = accepted.assigned_id {
            properties.push(AssignedClientIdentifier::new(client_id)?.into());
        }
        if request.keep_alive == 0 || request.keep_alive > settings.max_keep_alive {
            properties.push(ServerKeepAlive::new(settings.max_keep_alive)?.into());
        }
        Ok(properties)
    }

    fn refuse_connection(
        &mut self,
        now: Micros,
        id: LinkId,
        version: Version,
        reason: RefusalReason,
        out: &mut Vec<FrontOutput>,
    ) {
        info!(link = id.0, why = ?reason, "connection refused");
        let packet = match version {
            Version::V5 => {
                let builder = v5_0::Connack::builder().reason_code(reason.v5_code());
                builder.session_present(false).build().map(Into::into)
            }
            Version::V3 => {
                let builder = v3_1_1::Connack::builder().return_code(reason.v3_code());
                builder.session_present(false).build().map(Into::into)
            }
        };
        self.send_required(now, id, packet, out);
        self.close(now, id, out);
    }
}

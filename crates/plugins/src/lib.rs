//! Plug-ins: the versions of each function, its aliases, and the rollout of a version that an alias was moved
//! to. No I/O: times are arguments, and the caller stores the state as JSON.
//!
//! It guarantees that a call runs the version that its reference meant when the call was accepted, even if
//! the alias moves later; that a version whose content does not match its digest is not run; and that moving
//! an alias does not disturb calls under load. The gateway's event loop resolves each call here before it
//! submits it to the engine, and reports how the calls of each version ended.
#![forbid(unsafe_code)]

mod catalogue;
mod digest;
mod manifest;
mod reference;
mod rollout;
mod signature;

pub use catalogue::{
    AdmissionPolicy, AliasMove, AliasView, Catalogue, CatalogueError, Quarantine, Resolved, VersionState,
    VersionView, CURRENT, PREVIOUS,
};
pub use digest::{Digest, DigestError, Verifier, VerifyError};
pub use manifest::{check_manifest, ClassRights, LayerRef, Manifest, ManifestProblem, SCHEMA};
pub use reference::{Reference, ReferenceError, Selector};
pub use rollout::{
    Observation, Rollout, RolloutOutcome, RolloutRequest, RolloutSettings, RolloutState, Side,
};
pub use signature::{KeyError, KeyList, Signature, SigningSecret};

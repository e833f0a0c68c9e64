//! Plug-ins: which versions of a function there are, what each alias means, and how a move of an alias is carried out.
//! No I/O: times are arguments, what is kept is read and written as JSON by the caller.
//!
//! It guards three things: a call runs the rules that its reference meant when it was taken, whatever moves later; a
//! version whose content is not what its digest says runs nowhere; and moving an alias does not cost the rush. The
//! gateway's event loop calls it before a call goes to the engine and reports how calls of each version ended.
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

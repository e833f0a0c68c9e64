//! Plug-ins as OCI artifacts: an image manifest whose config is the plug-in's own manifest and whose layers
//! are its content, and signatures as artifacts whose subject is that image manifest (OCI image specification
//! 1.1, "Guidelines for Artifact Usage").
//!
//! A plug-in's digest is that of its config, so it is the same in every registry and in the folder.

use oci_spec::image::{
    Descriptor, Digest as OciDigest, ImageIndex, ImageManifest, ImageManifestBuilder, MediaType,
};
use slatevalve_plugins::{Digest, DigestError, LayerRef, Manifest, Signature};
use std::collections::HashMap;
use std::error::Error;
use std::fmt;
use std::str::FromStr;

/// Media type of a plug-in's manifest, the artifact's config.
pub const CONFIG_TYPE: &str = "application/vnd.slatevalve.plugin.v1+json";
/// Media type of a plug-in's layers.
const LAYER_TYPE: &str = "application/vnd.slatevalve.plugin.layer.v1";
/// Artifact type of a signature.
pub const SIGNATURE_TYPE: &str = "application/vnd.slatevalve.signature.v1";
/// Annotation of a signature: the key's id.
const KEY_ANNOTATION: &str = "dev.slatevalve.key";
/// Annotation of a signature: the signature in base64.
const SIGNATURE_ANNOTATION: &str = "dev.slatevalve.signature";
/// Limit of the layers of one plug-in.
const MAX_LAYERS: usize = 128;
/// Limit of the signatures that are read of one plug-in; further ones are ignored.
const MAX_SIGNATURES: usize = 32;
/// Content of the config of a signature (image specification, "Guidance for an Empty Descriptor").
pub(crate) const EMPTY_CONFIG: &[u8] = b"{}";
/// Schema version of image manifests and indexes (image specification, "Image Manifest Property
/// Descriptions").
const SCHEMA_VERSION: u32 = 2;

/// Why a document is not a valid manifest or index of a plug-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentError {
    /// Not an OCI image manifest or index of a supported version, or one that cannot be encoded; holds the
    /// reason.
    Syntax(String),
    /// An artifact of another type; holds its config's media type.
    OtherType(String),
    /// A descriptor's digest is malformed or its algorithm is not supported.
    Digest(DigestError),
    /// More layers than a plug-in may have; holds their number.
    TooManyLayers(usize),
    /// The image manifest's layers differ from those of the plug-in's own manifest.
    LayerMismatch,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DocumentError::Syntax(reason) => write!(f, "invalid OCI manifest or index: {reason}"),
            DocumentError::OtherType(found) => {
                write!(f, "the artifact has config type {found:?}, not that of a plug-in, {CONFIG_TYPE:?}")
            }
            DocumentError::Digest(e) => e.fmt(f),
            DocumentError::TooManyLayers(count) => {
                write!(f, "the image manifest has {count} layers; the limit is {MAX_LAYERS}")
            }
            DocumentError::LayerMismatch => {
                f.write_str("the layers of the image manifest differ from those of the plug-in's manifest")
            }
        }
    }
}

impl Error for DocumentError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            DocumentError::Digest(e) => Some(e),
            DocumentError::Syntax(_)
            | DocumentError::OtherType(_)
            | DocumentError::TooManyLayers(_)
            | DocumentError::LayerMismatch => None,
        }
    }
}

impl From<DigestError> for DocumentError {
    fn from(e: DigestError) -> Self {
        DocumentError::Digest(e)
    }
}

/// An encoded image manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedManifest {
    /// The JSON document, as it is pushed.
    pub bytes: Vec<u8>,
    /// The digest of `bytes`, which identifies the manifest in a registry.
    pub digest: Digest,
}

impl EncodedManifest {
    fn of(manifest: &ImageManifest) -> Result<Self, DocumentError> {
        let bytes = serde_json::to_vec(manifest).map_err(syntax)?;
        let digest = Digest::of(&bytes);
        Ok(EncodedManifest { bytes, digest })
    }
}

/// The blobs that a plug-in's image manifest references.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ImageContent {
    /// The config, which is the plug-in's own manifest; its digest identifies the version.
    pub config: LayerRef,
    /// The layers in order, which are the plug-in's content.
    pub layers: Vec<LayerRef>,
}

impl ImageContent {
    /// Checks that the layers are those of the plug-in's own manifest, in the same order.
    ///
    /// # Errors
    /// [`DocumentError::LayerMismatch`] when they are not.
    pub fn matches(&self, manifest: &Manifest) -> Result<(), DocumentError> {
        match self.layers == manifest.layers {
            true => Ok(()),
            false => Err(DocumentError::LayerMismatch),
        }
    }

    /// The blob at an index: the config at 0, the layers in order from 1 on.
    pub(crate) fn blob(&self, index: usize) -> Option<LayerRef> {
        std::iter::once(&self.config).chain(&self.layers).nth(index).copied()
    }

    /// Total size of the config and all layers, in bytes.
    pub(crate) fn size(&self) -> u64 {
        self.layers.iter().fold(self.config.size, |sum, layer| sum.saturating_add(layer.size))
    }
}

fn descriptor(media_type: &str, digest: &Digest, size: u64) -> Result<Descriptor, DocumentError> {
    let digest = OciDigest::from_str(&digest.to_string()).map_err(syntax)?;
    Ok(Descriptor::new(MediaType::Other(media_type.into()), size, digest))
}

fn layer_ref(descriptor: &Descriptor) -> Result<LayerRef, DocumentError> {
    let digest = descriptor.digest().to_string().parse()?;
    Ok(LayerRef { digest, size: descriptor.size() })
}

/// Encodes the image manifest of a plug-in; `bytes` is the encoded form of `manifest`.
///
/// # Errors
/// When it cannot be encoded.
pub fn pack(manifest: &Manifest, bytes: &[u8]) -> Result<EncodedManifest, DocumentError> {
    let layers = manifest.layers.iter().map(|layer| descriptor(LAYER_TYPE, &layer.digest, layer.size));
    let image = ImageManifestBuilder::default()
        .schema_version(SCHEMA_VERSION)
        .media_type(MediaType::ImageManifest)
        .artifact_type(MediaType::Other(CONFIG_TYPE.into()))
        .config(descriptor(CONFIG_TYPE, &Digest::of(bytes), bytes.len() as u64)?)
        .layers(layers.collect::<Result<Vec<_>, _>>()?)
        .build()
        .map_err(syntax)?;
    EncodedManifest::of(&image)
}

/// Parses the image manifest of a plug-in.
///
/// # Errors
/// When it is malformed, belongs to another kind of artifact, has too many layers or a digest of an
/// unsupported algorithm.
pub fn unpack(bytes: &[u8]) -> Result<ImageContent, DocumentError> {
    let image: ImageManifest = serde_json::from_slice(bytes).map_err(syntax)?;
    if image.schema_version() != SCHEMA_VERSION {
        return Err(syntax(format!("schema version {}", image.schema_version())));
    }
    let config_type = image.config().media_type().to_string();
    if config_type != CONFIG_TYPE {
        return Err(DocumentError::OtherType(config_type));
    }
    if image.layers().len() > MAX_LAYERS {
        return Err(DocumentError::TooManyLayers(image.layers().len()));
    }
    let layers = image.layers().iter().map(layer_ref).collect::<Result<_, _>>()?;
    Ok(ImageContent { config: layer_ref(image.config())?, layers })
}

/// Encodes the manifest of an artifact that carries a signature of a plug-in; `subject` is the image manifest
/// of that plug-in.
///
/// # Errors
/// When it cannot be encoded.
pub fn pack_signature(
    subject: &EncodedManifest,
    signature: &Signature,
) -> Result<EncodedManifest, DocumentError> {
    let subject_type = MediaType::ImageManifest.to_string();
    let annotations = HashMap::from([
        (KEY_ANNOTATION.to_string(), signature.key.clone()),
        (SIGNATURE_ANNOTATION.to_string(), signature.base64()),
    ]);
    let image = ImageManifestBuilder::default()
        .schema_version(SCHEMA_VERSION)
        .media_type(MediaType::ImageManifest)
        .artifact_type(MediaType::Other(SIGNATURE_TYPE.into()))
        .config(descriptor(
            MediaType::EmptyJSON.as_ref(),
            &Digest::of(EMPTY_CONFIG),
            EMPTY_CONFIG.len() as u64,
        )?)
        .layers(Vec::new())
        .subject(descriptor(&subject_type, &subject.digest, subject.bytes.len() as u64)?)
        .annotations(annotations)
        .build()
        .map_err(syntax)?;
    EncodedManifest::of(&image)
}

/// Parses the signatures in a registry's list of referrers. Other entries are skipped, as anybody may add
/// referrers.
///
/// # Errors
/// When it is not an image index.
pub fn read_signatures(bytes: &[u8]) -> Result<Vec<Signature>, DocumentError> {
    let index: ImageIndex = serde_json::from_slice(bytes).map_err(syntax)?;
    Ok(index.manifests().iter().filter_map(read_signature).take(MAX_SIGNATURES).collect())
}

/// Parses the signature in a descriptor's annotations; `None` where the artifact is not a signature or is
/// malformed.
fn read_signature(descriptor: &Descriptor) -> Option<Signature> {
    let artifact_type = descriptor.artifact_type().as_ref()?;
    if artifact_type.to_string() != SIGNATURE_TYPE {
        return None;
    }
    let annotations = descriptor.annotations().as_ref()?;
    Signature::read(annotations.get(KEY_ANNOTATION)?, annotations.get(SIGNATURE_ANNOTATION)?)
}

fn syntax(reason: impl fmt::Display) -> DocumentError {
    DocumentError::Syntax(reason.to_string())
}

#[cfg(test)]
mod tests;

//! Plug-ins as OCI artifacts: the image manifest whose config is the plug-in's own manifest and whose layers are its
//! content, and signatures as artifacts that refer to it (OCI image specification 1.1, "Guidelines for Artifact Usage").
//!
//! A plug-in's digest is that of its config, so it is the same in every registry and in the folder.

use oci_spec::image::{
    Descriptor, Digest as OciDigest, ImageIndex, ImageManifest, ImageManifestBuilder, MediaType,
};
use slatevalve_plugins::{Digest, DigestError, LayerRef, Manifest, Signature};
use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

/// Media type of a plug-in's manifest, the artifact's config.
pub const CONFIG_TYPE: &str = "application/vnd.slatevalve.plugin.v1+json";
/// Media type of a plug-in's layers.
const LAYER_TYPE: &str = "application/vnd.slatevalve.plugin.layer.v1";
/// Artifact type of a signature.
pub const SIGNATURE_TYPE: &str = "application/vnd.slatevalve.signature.v1";
/// Annotations of a signature: the key's id and the signature in base64.
const KEY: &str = "dev.slatevalve.key";
const SIGNATURE: &str = "dev.slatevalve.signature";
/// Layers of one plug-in at most.
const MAX_LAYERS: usize = 128;
/// Signatures of one plug-in that are looked at.
const MAX_SIGNATURES: usize = 32;

/// Why a document is no plug-in's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentError {
    /// Not an OCI image manifest or index.
    Syntax(String),
    /// An artifact of something else.
    OtherType(String),
    /// A digest that cannot be checked here.
    Digest(DigestError),
    /// More layers than a plug-in may have.
    TooMany(usize),
    /// Its layers are not those that the plug-in's own manifest names.
    Layers,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DocumentError::Syntax(words) => write!(f, "no OCI manifest: {words}"),
            DocumentError::OtherType(found) => write!(f, "an artifact of type {found}, not a plug-in"),
            DocumentError::Digest(e) => e.fmt(f),
            DocumentError::TooMany(count) => write!(f, "{count} layers; {MAX_LAYERS} at most"),
            DocumentError::Layers => {
                f.write_str("its layers are not those that the plug-in's manifest names")
            }
        }
    }
}

impl std::error::Error for DocumentError {}

/// An image manifest as bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packed {
    /// The bytes that go to the registry.
    pub bytes: Vec<u8>,
    /// Their digest.
    pub digest: Digest,
}

impl Packed {
    fn of(manifest: &ImageManifest) -> Result<Self, DocumentError> {
        let bytes = serde_json::to_vec(manifest).map_err(|e| DocumentError::Syntax(e.to_string()))?;
        let digest = Digest::of(&bytes);
        Ok(Packed { bytes, digest })
    }
}

/// What an image manifest of a plug-in names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unpacked {
    /// The plug-in's own manifest.
    pub config: LayerRef,
    /// Its content.
    pub layers: Vec<LayerRef>,
}

impl Unpacked {
    /// Checks that the layers are those that the plug-in's own manifest names, in its order.
    ///
    /// # Errors
    /// When they are not.
    pub fn matches(&self, manifest: &Manifest) -> Result<(), DocumentError> {
        match self.layers == manifest.layers {
            true => Ok(()),
            false => Err(DocumentError::Layers),
        }
    }

    /// The blob at an index: the config at 0, the layers in order from 1 on.
    pub(crate) fn blob(&self, index: usize) -> Option<LayerRef> {
        std::iter::once(&self.config).chain(&self.layers).nth(index).copied()
    }

    /// Bytes of the config and all layers.
    pub(crate) fn size(&self) -> u64 {
        self.layers.iter().fold(self.config.size, |sum, layer| sum.saturating_add(layer.size))
    }
}

fn descriptor(media_type: &str, digest: &Digest, size: u64) -> Result<Descriptor, DocumentError> {
    let digest =
        OciDigest::from_str(&digest.to_string()).map_err(|e| DocumentError::Syntax(e.to_string()))?;
    Ok(Descriptor::new(MediaType::Other(media_type.into()), size, digest))
}

fn reference(descriptor: &Descriptor) -> Result<LayerRef, DocumentError> {
    let digest = descriptor.digest().to_string().parse().map_err(DocumentError::Digest)?;
    Ok(LayerRef { digest, size: descriptor.size() })
}

/// The image manifest of a plug-in, given the bytes of its own manifest.
///
/// # Errors
/// When it cannot be written.
pub fn pack(manifest: &Manifest, bytes: &[u8]) -> Result<Packed, DocumentError> {
    let layers = manifest.layers.iter().map(|l| descriptor(LAYER_TYPE, &l.digest, l.size));
    let image = ImageManifestBuilder::default()
        .schema_version(2u32)
        .media_type(MediaType::ImageManifest)
        .artifact_type(MediaType::Other(CONFIG_TYPE.into()))
        .config(descriptor(CONFIG_TYPE, &Digest::of(bytes), bytes.len() as u64)?)
        .layers(layers.collect::<Result<Vec<_>, _>>()?)
        .build()
        .map_err(|e| DocumentError::Syntax(e.to_string()))?;
    Packed::of(&image)
}

/// Reads the image manifest of a plug-in.
///
/// # Errors
/// When it is none, or names content that cannot be checked here.
pub fn unpack(bytes: &[u8]) -> Result<Unpacked, DocumentError> {
    let image: ImageManifest =
        serde_json::from_slice(bytes).map_err(|e| DocumentError::Syntax(e.to_string()))?;
    if image.schema_version() != 2 {
        return Err(DocumentError::Syntax(format!("schema version {}", image.schema_version())));
    }
    let config_type = image.config().media_type().to_string();
    if config_type != CONFIG_TYPE {
        return Err(DocumentError::OtherType(config_type));
    }
    if image.layers().len() > MAX_LAYERS {
        return Err(DocumentError::TooMany(image.layers().len()));
    }
    let layers = image.layers().iter().map(reference).collect::<Result<_, _>>()?;
    Ok(Unpacked { config: reference(image.config())?, layers })
}

/// The artifact that carries a signature of a plug-in; `subject` is the plug-in's image manifest.
///
/// # Errors
/// When it cannot be written.
pub fn sign_document(subject: &Packed, signature: &Signature) -> Result<Packed, DocumentError> {
    let subject_type = MediaType::ImageManifest.to_string();
    let annotations = HashMap::from([
        (KEY.to_string(), signature.key.clone()),
        (SIGNATURE.to_string(), signature.base64()),
    ]);
    // The empty config of the image specification ("Guidance for an Empty Descriptor").
    let image = ImageManifestBuilder::default()
        .schema_version(2u32)
        .media_type(MediaType::ImageManifest)
        .artifact_type(MediaType::Other(SIGNATURE_TYPE.into()))
        .config(descriptor(MediaType::EmptyJSON.as_ref(), &Digest::of(b"{}"), 2)?)
        .layers(Vec::new())
        .subject(descriptor(&subject_type, &subject.digest, subject.bytes.len() as u64)?)
        .annotations(annotations)
        .build()
        .map_err(|e| DocumentError::Syntax(e.to_string()))?;
    Packed::of(&image)
}

/// The signatures in a registry's list of referrers; entries that are none are passed over, as anybody may refer.
///
/// # Errors
/// When it is no image index.
pub fn read_signatures(bytes: &[u8]) -> Result<Vec<Signature>, DocumentError> {
    let index: ImageIndex =
        serde_json::from_slice(bytes).map_err(|e| DocumentError::Syntax(e.to_string()))?;
    let of_ours = index
        .manifests()
        .iter()
        .filter(|d| d.artifact_type().as_ref().is_some_and(|t| t.to_string() == SIGNATURE_TYPE));
    let read = |d: &Descriptor| {
        let annotations = d.annotations().as_ref()?;
        Signature::read(annotations.get(KEY)?, annotations.get(SIGNATURE)?)
    };
    Ok(of_ours.filter_map(read).take(MAX_SIGNATURES).collect())
}

#[cfg(test)]
mod tests;

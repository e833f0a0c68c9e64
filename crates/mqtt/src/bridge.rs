//! stub
/// stub
pub struct Bridge;
/// stub
pub struct BridgeOutput;
/// stub
pub struct BridgeSettings;

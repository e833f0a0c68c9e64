//! Plug-ins on disk and in registries: the folder, commands on it, pulls and pushes, and the background
//! worker of a running gateway. The part that runs in the event loop is in `server/plugins/`.

pub mod background;
pub mod command;
pub mod folder;
pub mod link;

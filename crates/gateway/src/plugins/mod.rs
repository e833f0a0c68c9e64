//! Plug-ins on disk and in registries: the folder, commands on it, pulls and pushes over sockets, and the background worker
//! of a running gateway. The event loop's own part is in `server/`.

pub mod background;
pub mod command;
pub mod folder;
pub mod link;

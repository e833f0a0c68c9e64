//! Plug-ins on disk and in registries: the folder, the commands on it, pulls and pushes over sockets, and the thread in
//! which a running gateway does all that takes its time. The loop's own part is `shell/plugins.rs`.

pub mod background;
pub mod command;
pub mod folder;
pub mod link;

//! Names that have numbers: zones and kinds of workers.

/// Names in the order of their first occurrence; a name's index is its number.
#[derive(Clone, Debug, Default)]
pub(crate) struct NameTable(Vec<String>);

impl NameTable {
    /// The name with a number; empty if there is none.
    pub(crate) fn name(&self, number: usize) -> &str {
        self.0.get(number).map_or("", String::as_str)
    }

    /// The number of a name, which is added if it is new.
    pub(crate) fn number_of(&mut self, name: &str) -> usize {
        self.0.iter().position(|known| known == name).unwrap_or_else(|| {
            self.0.push(name.into());
            self.0.len() - 1
        })
    }
}

/// The zones and kinds of a site. A file that is read again continues with those of the first reading, so that a name keeps
/// its number while calls that refer to it are open.
#[derive(Clone, Debug, Default)]
pub struct NameTables {
    pub(crate) zones: NameTable,
    pub(crate) kinds: NameTable,
}

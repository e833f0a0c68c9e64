//! Numbering of names: zones and kinds of workers.

/// Names in the order of their first occurrence; the index of a name is its number.
#[derive(Clone, Debug, Default)]
pub(crate) struct NameTable(Vec<String>);

impl NameTable {
    /// The name with this number; empty if there is none.
    pub(crate) fn name(&self, number: usize) -> &str {
        self.0.get(number).map_or("", String::as_str)
    }

    /// The number of a name; a new name is added.
    pub(crate) fn number_of(&mut self, name: &str) -> usize {
        self.0.iter().position(|known| known == name).unwrap_or_else(|| {
            self.0.push(name.into());
            self.0.len() - 1
        })
    }
}

/// The numbered zones and kinds of a site. A reload continues with the tables of the earlier load, so that a
/// name keeps its number while open calls refer to it.
#[derive(Clone, Debug, Default)]
pub struct NameTables {
    pub(crate) zones: NameTable,
    pub(crate) kinds: NameTable,
}

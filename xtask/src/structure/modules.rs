//! The modules of one crate, and which of them uses which.

use super::imports::{imports, Import};
use super::Source;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// The place of a module in its crate: `["backend", "reader"]` for `crate::backend::reader`.
type ModulePath = Vec<String>;

/// How many re-exports are followed to where an item is defined.
const MAX_REEXPORTS: usize = 8;

/// The modules of one crate that have a file of their own.
pub(super) struct Modules {
    imports: BTreeMap<ModulePath, Vec<Import>>,
}

impl Modules {
    /// The modules of a crate's sources. Programs under `src/bin`, `main.rs` beside a `lib.rs`, and files of tests
    /// are left out: nothing can use them.
    pub(super) fn of(sources: &[Source]) -> Modules {
        let has_library = sources.iter().any(|source| source.path == Path::new("src/lib.rs"));
        let mut modules = BTreeMap::new();
        for source in sources {
            if let Some(path) = module_path(&source.path, has_library) {
                modules.insert(path, imports(&source.text));
            }
        }
        Modules { imports: modules }
    }

    /// Which modules each module uses, but for those above and below it in the tree.
    pub(super) fn uses(&self) -> BTreeMap<String, BTreeSet<String>> {
        let mut uses = BTreeMap::new();
        for (module, imports) in &self.imports {
            let targets = imports.iter().filter_map(|import| self.resolve(module, import, MAX_REEXPORTS));
            let siblings =
                targets.filter(|target| !target.starts_with(module) && !module.starts_with(target));
            uses.insert(display(module), siblings.map(|target| display(&target)).collect());
        }
        uses
    }

    /// The module that holds what `import` names, if it is one of this crate's.
    fn resolve(&self, module: &ModulePath, import: &Import, reexports_left: usize) -> Option<ModulePath> {
        let mut place = module.clone();
        place.extend(import.inline_modules.iter().cloned());
        let mut segments = import.path.iter().peekable();
        match segments.peek()?.as_str() {
            "crate" => {
                place.clear();
                segments.next();
            }
            "self" => {
                segments.next();
            }
            "super" => {
                while segments.next_if(|segment| *segment == "super").is_some() {
                    place.pop();
                }
            }
            child => {
                // A path without a prefix names a child module, or another crate.
                let mut path = module.clone();
                path.push(child.to_string());
                if !self.imports.contains_key(&path) {
                    return None;
                }
            }
        }
        while let Some(segment) = segments.peek() {
            place.push((*segment).clone());
            if !self.imports.contains_key(&place) {
                place.pop();
                break;
            }
            segments.next();
        }
        // Inline modules have no file: what stands in them is of the file round them.
        while !self.imports.contains_key(&place) {
            place.pop()?;
        }
        match segments.next() {
            Some(item) if reexports_left > 0 => {
                Some(self.definition(&place, item, reexports_left - 1).unwrap_or(place))
            }
            _ => Some(place),
        }
    }

    /// Where an item comes from that `module` only passes on.
    fn definition(&self, module: &ModulePath, item: &str, reexports_left: usize) -> Option<ModulePath> {
        let imports = self.imports.get(module)?;
        let reexport = imports.iter().find(|import| import.name.as_deref() == Some(item))?;
        self.resolve(module, reexport, reexports_left)
    }
}

fn module_path(file: &Path, has_library: bool) -> Option<ModulePath> {
    let within = file.strip_prefix("src").ok()?;
    let mut path: ModulePath =
        within.with_extension("").iter().map(|part| part.to_string_lossy().into_owned()).collect();
    if path.first().is_some_and(|first| first == "bin") || path.iter().any(|part| part == "tests") {
        return None;
    }
    match (path.len(), path.last()?.as_str()) {
        (1, "main") if has_library => return None,
        (1, "main" | "lib") | (_, "mod") => {
            path.pop();
        }
        _ => {}
    }
    Some(path)
}

fn display(module: &ModulePath) -> String {
    if module.is_empty() {
        "(root)".to_string()
    } else {
        module.join("/")
    }
}

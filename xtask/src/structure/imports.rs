//! The paths that a source file names: its `use` declarations, and paths from `crate`, `self` and `super` in its code.

use super::tokens::tokenize;

/// One path that a file names, as written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Import {
    /// The segments; a glob ends with `*`.
    pub(super) path: Vec<String>,
    /// The name it has in the file, for a `use` declaration.
    pub(super) name: Option<String>,
    /// The inline modules round it, from the file's own module inwards.
    pub(super) inline_modules: Vec<String>,
}

/// All paths that a source text names.
pub(super) fn imports(text: &str) -> Vec<Import> {
    let mut reader = Reader { tokens: tokenize(text), at: 0, imports: Vec::new(), modules: Vec::new() };
    reader.read();
    reader.imports
}

struct Reader<'a> {
    tokens: Vec<&'a str>,
    at: usize,
    imports: Vec<Import>,
    /// The inline modules that are open, with the depth of braces inside which they stand.
    modules: Vec<(String, usize)>,
}

impl Reader<'_> {
    fn token(&self, ahead: usize) -> &str {
        self.tokens.get(self.at + ahead).copied().unwrap_or("")
    }

    fn read(&mut self) {
        let mut depth = 0_usize;
        while self.at < self.tokens.len() {
            match self.token(0) {
                "{" => depth += 1,
                "}" => {
                    depth = depth.saturating_sub(1);
                    self.modules.retain(|(_, outside)| *outside < depth);
                }
                "mod" if self.token(2) == "{" => {
                    let name = self.token(1).to_string();
                    self.modules.push((name, depth));
                    self.at += 1;
                }
                "use" if self.is_declaration() => {
                    self.at += 1;
                    self.use_tree(&mut Vec::new());
                    continue;
                }
                "crate" | "self" | "super" if self.token(1) == "::" && self.is_path_start() => {
                    self.inline_path();
                    continue;
                }
                _ => {}
            }
            self.at += 1;
        }
    }

    /// Whether this `use` begins a declaration, rather than the bound `impl Trait + use<'a>`.
    fn is_declaration(&self) -> bool {
        self.token(1) != "<"
    }

    fn is_path_start(&self) -> bool {
        !matches!(self.at.checked_sub(1).and_then(|before| self.tokens.get(before)), Some(&("::" | "$")))
    }

    fn inline_path(&mut self) {
        let mut path = vec![self.token(0).to_string()];
        while self.token(1) == "::"
            && self.token(2).starts_with(|sign: char| sign.is_alphabetic() || sign == '_')
        {
            path.push(self.token(2).to_string());
            self.at += 2;
        }
        self.at += 1;
        self.push(path, None);
    }

    /// Reads one branch of a `use` declaration; afterwards the reader is behind it.
    fn use_tree(&mut self, prefix: &mut Vec<String>) {
        let outer = prefix.len();
        loop {
            match self.token(0) {
                "::" => self.at += 1,
                "{" => {
                    self.at += 1;
                    while !matches!(self.token(0), "}" | "") {
                        self.use_tree(prefix);
                        if self.token(0) == "," {
                            self.at += 1;
                        }
                    }
                    self.at += 1;
                    break;
                }
                segment => {
                    prefix.push(segment.to_string());
                    self.at += 1;
                    if self.token(0) != "::" {
                        self.end_of_branch(prefix);
                        break;
                    }
                }
            }
        }
        prefix.truncate(outer);
    }

    fn end_of_branch(&mut self, path: &[String]) {
        let mut path = path.to_vec();
        if path.len() > 1 && path.last().is_some_and(|last| last == "self") {
            path.pop();
        }
        let mut name = path.last().cloned();
        if self.token(0) == "as" {
            name = Some(self.token(1).to_string());
            self.at += 2;
        }
        self.push(path, name);
    }

    fn push(&mut self, path: Vec<String>, name: Option<String>) {
        let inline_modules = self.modules.iter().map(|(name, _)| name.clone()).collect();
        self.imports.push(Import { path, name, inline_modules });
    }
}

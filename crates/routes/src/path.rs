//! Paths of routes: templates of whole paths, and prefixes.

use crate::target;
use std::fmt;

/// Which paths a rule is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Path {
    pub(crate) segments: Vec<Segment>,
    /// Whether further segments may follow.
    pub(crate) open: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Segment {
    Literal(String),
    /// Any one segment; its name says only what it is for.
    Parameter(String),
}

/// How specific a path is, segment by segment from the left: greater wins. Of two different paths that match
/// one and the same request, one is always greater.
pub(crate) type Rank = Vec<u8>;

impl Path {
    /// Reads `/hotels/{hotel}/rooms`, or with `/*` at the end a prefix: `/hotels/*` is `/hotels` and all below.
    pub fn parse(text: &str) -> Result<Path, String> {
        let bad = |reason: &str| Err(format!("path {text:?} {reason}"));
        let Some(rest) = text.strip_prefix('/') else { return bad("does not begin with /") };
        let (rest, open) = match rest.strip_suffix('*') {
            Some("") => ("", true),
            Some(rest) => match rest.strip_suffix('/') {
                Some(rest) => (rest, true),
                None => return bad("has a * that is not its last segment"),
            },
            None => (rest, false),
        };
        if rest.is_empty() {
            return Ok(Path { segments: Vec::new(), open });
        }
        let mut segments = Vec::new();
        for part in rest.split('/') {
            if part.contains('*') {
                return bad("has a * that is not its last segment");
            }
            let name = part.strip_prefix('{').and_then(|part| part.strip_suffix('}'));
            if let Some(name) = name {
                if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'_') {
                    return bad("has a parameter without a plain name");
                }
                segments.push(Segment::Parameter(name.to_string()));
            } else if part.contains(['{', '}']) {
                return bad("has a parameter that is not a whole segment");
            } else {
                segments.push(Segment::Literal(part.to_string()));
            }
        }
        let path = Path { segments, open };
        // Anything else could never match: requests come in normal form.
        let plain = path.segments.iter().map(|segment| match segment {
            Segment::Literal(text) => format!("/{text}"),
            Segment::Parameter(_) => "/x".to_string(),
        });
        let plain: String = plain.collect();
        match target::path(&plain) {
            Ok(normal) if normal == plain => Ok(path),
            Ok(_) | Err(_) => bad("is not in normal form"),
        }
    }

    pub(crate) fn rank(&self) -> Rank {
        let mut rank: Rank = self
            .segments
            .iter()
            .map(|segment| match segment {
                Segment::Literal(_) => 3,
                Segment::Parameter(_) => 2,
            })
            .collect();
        // The end of a whole path is more than an open end, and an open end less than any segment.
        rank.push(if self.open { 0 } else { 1 });
        rank
    }

    /// In the matcher's words, with parameters named by their places: routes that differ only in what they
    /// call a parameter are the same route. An open path is several of them.
    pub(crate) fn patterns(&self) -> Vec<String> {
        let mut base = String::new();
        for (place, segment) in self.segments.iter().enumerate() {
            base.push('/');
            match segment {
                Segment::Literal(text) => base.push_str(&text.replace('{', "{{").replace('}', "}}")),
                Segment::Parameter(_) => base.push_str(&format!("{{p{place}}}")),
            }
        }
        if !self.open {
            return vec![if base.is_empty() { "/".to_string() } else { base }];
        }
        let rest = format!("{base}/{{*rest}}");
        // A path in normal form may end in one slash, which the open end takes with nothing behind it.
        let slash = format!("{base}/");
        if base.is_empty() {
            vec![slash, rest]
        } else {
            vec![base, slash, rest]
        }
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for segment in &self.segments {
            match segment {
                Segment::Literal(text) => write!(f, "/{text}")?,
                Segment::Parameter(name) => write!(f, "/{{{name}}}")?,
            }
        }
        match (self.open, self.segments.is_empty()) {
            (true, _) => f.write_str("/*"),
            (false, true) => f.write_str("/"),
            (false, false) => Ok(()),
        }
    }
}

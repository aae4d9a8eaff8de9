//! Path patterns of routes: templates of complete paths, and prefixes.

use crate::target;
use std::fmt;
use std::str::FromStr;

/// Why a text is not a valid path pattern.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("path {text:?} {reason}")]
pub struct PathError {
    text: String,
    reason: &'static str,
}

/// The paths that a route matches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathPattern {
    pub(crate) segments: Vec<Segment>,
    /// Whether further segments may follow.
    pub(crate) is_prefix: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Segment {
    Literal(String),
    /// Any single segment. The name is for readers only; it has no effect on matching.
    Parameter(String),
}

/// How specific a path pattern is, with one number for each segment from the left; the greater rank wins. Two patterns that
/// match the same request and differ in more than parameter names never have the same rank.
pub(crate) type Rank = Vec<u8>;

/// Parses a complete path such as `/hotels/{hotel}/rooms`, or a prefix that ends with `/*`: `/hotels/*` matches `/hotels`
/// and all paths below it.
impl FromStr for PathPattern {
    type Err = PathError;

    fn from_str(text: &str) -> Result<PathPattern, PathError> {
        parse(text).map_err(|reason| PathError { text: text.to_string(), reason })
    }
}

const MISPLACED_WILDCARD: &str = "has a * that is not its last segment";

fn parse(text: &str) -> Result<PathPattern, &'static str> {
    let rest = text.strip_prefix('/').ok_or("does not begin with /")?;
    let (rest, is_prefix) = match rest.strip_suffix('*') {
        Some("") => ("", true),
        Some(rest) => (rest.strip_suffix('/').ok_or(MISPLACED_WILDCARD)?, true),
        None => (rest, false),
    };
    if rest.is_empty() {
        return Ok(PathPattern { segments: Vec::new(), is_prefix });
    }
    let segments = rest.split('/').map(parse_segment).collect::<Result<Vec<_>, _>>()?;
    let path = PathPattern { segments, is_prefix };
    // A pattern that is not in normal form could never match, as requests are normalised before the lookup.
    let sample = path.segments.iter().map(|segment| match segment {
        Segment::Literal(text) => format!("/{text}"),
        Segment::Parameter(_) => "/x".to_string(),
    });
    let sample: String = sample.collect();
    if target::normalize_path(&sample).is_ok_and(|normal| normal == sample) {
        Ok(path)
    } else {
        Err("is not in normal form")
    }
}

fn parse_segment(text: &str) -> Result<Segment, &'static str> {
    if text.contains('*') {
        return Err(MISPLACED_WILDCARD);
    }
    match text.strip_prefix('{').and_then(|text| text.strip_suffix('}')) {
        Some(name) => {
            let is_identifier = name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'_');
            if name.is_empty() || !is_identifier {
                return Err("has a parameter without a plain name");
            }
            Ok(Segment::Parameter(name.to_string()))
        }
        None if text.contains(['{', '}']) => Err("has a parameter that is not a whole segment"),
        None => Ok(Segment::Literal(text.to_string())),
    }
}

impl PathPattern {
    pub(crate) fn rank(&self) -> Rank {
        let mut rank: Rank = self
            .segments
            .iter()
            .map(|segment| match segment {
                Segment::Literal(_) => 3,
                Segment::Parameter(_) => 2,
            })
            .collect();
        // The end of a complete path ranks above the end of a prefix; both rank below any segment.
        rank.push(u8::from(!self.is_prefix));
        rank
    }

    /// The patterns in the syntax of `matchit`; a prefix needs several. Parameters are named by their positions, so that
    /// routes that differ only in parameter names are found to conflict.
    pub(crate) fn matcher_patterns(&self) -> Vec<String> {
        let mut base = String::new();
        for (position, segment) in self.segments.iter().enumerate() {
            base.push('/');
            match segment {
                Segment::Literal(text) => base.push_str(&text.replace('{', "{{").replace('}', "}}")),
                Segment::Parameter(_) => base.push_str(&format!("{{p{position}}}")),
            }
        }
        if !self.is_prefix {
            return vec![if base.is_empty() { "/".to_string() } else { base }];
        }
        let subpaths = format!("{base}/{{*rest}}");
        // `{*rest}` does not match an empty rest, but a path in normal form may end with a slash.
        let with_slash = format!("{base}/");
        if base.is_empty() {
            vec![with_slash, subpaths]
        } else {
            vec![base, with_slash, subpaths]
        }
    }
}

impl fmt::Display for PathPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for segment in &self.segments {
            match segment {
                Segment::Literal(text) => write!(f, "/{text}")?,
                Segment::Parameter(name) => write!(f, "/{{{name}}}")?,
            }
        }
        match (self.is_prefix, self.segments.is_empty()) {
            (true, _) => f.write_str("/*"),
            (false, true) => f.write_str("/"),
            (false, false) => Ok(()),
        }
    }
}

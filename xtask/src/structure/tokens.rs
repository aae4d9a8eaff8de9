//! A lexer that is just good enough to find paths: identifiers and signs, without comments and literals.

/// Splits source text into identifiers, `::` and single signs. Comments, strings, characters, lifetimes and numbers
/// are left out.
pub(super) fn tokenize(text: &str) -> Vec<&str> {
    let mut tokens = Vec::new();
    let mut rest = text;
    while let Some(first) = rest.chars().next() {
        let length = if rest.starts_with("//") {
            rest.find('\n').unwrap_or(rest.len())
        } else if rest.starts_with("/*") {
            block_comment(rest)
        } else if let Some(length) = raw_string(rest) {
            length
        } else if first == '"' {
            string(rest)
        } else if first == '\'' {
            character_or_lifetime(rest)
        } else if is_word(first) {
            let length = rest.find(|sign| !is_word(sign)).unwrap_or(rest.len());
            if !first.is_ascii_digit() {
                tokens.push(&rest[..length]);
            }
            length
        } else if rest.starts_with("::") {
            tokens.push("::");
            2
        } else {
            let length = first.len_utf8();
            if !first.is_whitespace() {
                tokens.push(&rest[..length]);
            }
            length
        };
        rest = &rest[length..];
    }
    tokens
}

fn is_word(sign: char) -> bool {
    sign.is_alphanumeric() || sign == '_'
}

/// The length of a block comment; they nest.
fn block_comment(text: &str) -> usize {
    let mut depth = 0_usize;
    let mut at = 0;
    while at < text.len() {
        let rest = &text[at..];
        if rest.starts_with("/*") {
            depth += 1;
            at += 2;
        } else if rest.starts_with("*/") {
            depth -= 1;
            at += 2;
            if depth == 0 {
                break;
            }
        } else {
            at += rest.chars().next().map_or(1, char::len_utf8);
        }
    }
    at
}

/// The length of a raw or byte string, if the text begins with one.
fn raw_string(text: &str) -> Option<usize> {
    let after_prefix = ["br", "cr", "r"].iter().find_map(|prefix| text.strip_prefix(prefix))?;
    let hashes = after_prefix.len() - after_prefix.trim_start_matches('#').len();
    let body = after_prefix[hashes..].strip_prefix('"')?;
    let end = format!("\"{}", "#".repeat(hashes));
    let length = body.find(&end).map_or(body.len(), |at| at + end.len());
    Some(text.len() - body.len() + length)
}

/// The length of a string with its quotes.
fn string(text: &str) -> usize {
    let mut is_escaped = false;
    for (at, sign) in text.char_indices().skip(1) {
        match sign {
            _ if is_escaped => is_escaped = false,
            '\\' => is_escaped = true,
            '"' => return at + 1,
            _ => {}
        }
    }
    text.len()
}

/// The length of a character literal, or of the sign that begins a lifetime and its name.
fn character_or_lifetime(text: &str) -> usize {
    let mut signs = text.char_indices().skip(1);
    match signs.next() {
        Some((_, '\\')) => text[3..].find('\'').map_or(text.len(), |at| at + 4),
        Some((at, sign)) => {
            let after = at + sign.len_utf8();
            if text[after..].starts_with('\'') {
                after + 1
            } else {
                text[1..].find(|sign| !is_word(sign)).map_or(text.len(), |at| at + 1)
            }
        }
        None => text.len(),
    }
}

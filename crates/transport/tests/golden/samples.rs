//! Sample values, each of which is compared with a golden file. The golden tests of other crates include this file.

use crate::files::GoldenFolder;
use std::collections::BTreeSet;
use std::fmt::Debug;

/// A value, and the name of the golden file with its encoding.
pub(crate) struct Sample<T> {
    pub name: &'static str,
    pub value: T,
}

/// Creates a sample.
pub(crate) fn sample<T>(name: &'static str, value: T) -> Sample<T> {
    Sample { name, value }
}

impl GoldenFolder {
    /// Checks that each golden file decodes to its sample, and that the sample encodes to the bytes of the file.
    ///
    /// # Panics
    /// If one of these does not hold, with the names of all such samples.
    pub(crate) fn check<T, E>(
        &self,
        samples: &[Sample<T>],
        encode: impl Fn(&T) -> Vec<u8>,
        decode: impl Fn(&[u8]) -> Result<T, E>,
    ) where
        T: PartialEq + Debug,
        E: Debug,
    {
        let mut failures = Vec::new();
        for Sample { name, value } in samples {
            let golden = self.read(name, || encode(value));
            match decode(&golden) {
                Ok(decoded) if decoded == *value => {}
                Ok(decoded) => failures.push(format!("{name}: decodes to another value: {decoded:?}")),
                Err(error) => failures.push(format!("{name}: can't be decoded: {error:?}")),
            }
            let encoded = encode(value);
            if encoded != golden {
                failures.push(format!(
                    "{name}: encodes to other bytes\n  golden:  {}\n  encoded: {}",
                    golden.escape_ascii(),
                    encoded.escape_ascii()
                ));
            }
        }
        assert!(
            failures.is_empty(),
            "{} failures in {} samples\n{}",
            failures.len(),
            samples.len(),
            failures.join("\n")
        );
    }

    /// The names of all golden files in the folder.
    pub(crate) fn names(&self) -> BTreeSet<String> {
        let entries = std::fs::read_dir(&self.folder).expect("the folder of golden files");
        let files = entries.map(|entry| entry.expect("an entry").file_name().into_string().expect("UTF-8"));
        let suffix = format!(".{}", self.extension);
        files.filter_map(|file| file.strip_suffix(&suffix).map(str::to_owned)).collect()
    }
}

//! Lists of enum variants, each of which needs a golden sample. The golden tests of other crates include this file.

use std::collections::BTreeSet;

/// An enum that lists its variants. It must be implemented with [`crate::variants`], whose `match` has no wildcard: a new
/// variant does not compile until it is listed, and the test fails for a listed variant without a sample.
pub(crate) trait Variants {
    const NAMES: &'static [&'static str];
    fn variant(&self) -> &'static str;
}

/// Lists the variants of an enum.
#[macro_export]
macro_rules! variants {
    ($type:ty { $($pattern:pat => $name:literal),+ $(,)? }) => {
        impl $crate::variants::Variants for $type {
            const NAMES: &'static [&'static str] = &[$($name),+];

            fn variant(&self) -> &'static str {
                match self { $($pattern => $name),+ }
            }
        }
    };
}

/// Checks that there is a value of every variant of the type.
pub(crate) fn assert_all_variants<'a, T: Variants + 'a>(values: impl IntoIterator<Item = &'a T>) {
    let sampled: BTreeSet<&str> = values.into_iter().map(Variants::variant).collect();
    let listed: BTreeSet<&str> = T::NAMES.iter().copied().collect();
    assert_eq!(
        sampled,
        listed,
        "variants with a golden sample, and variants of {}",
        std::any::type_name::<T>()
    );
}

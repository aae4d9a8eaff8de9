//! Tables of enum variants, each of which needs a golden sample. Other crates' golden tests include this file.

use std::collections::BTreeSet;

/// An enum that lists its variants. Implemented by [`crate::variants`] alone, whose `match` has no wildcard: a new
/// variant does not compile until it is listed, and a listed variant without a sample fails its test.
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

/// Requires that the values show every variant of their type.
pub(crate) fn assert_all_variants<'a, T: Variants + 'a>(values: impl IntoIterator<Item = &'a T>) {
    let shown: BTreeSet<&str> = values.into_iter().map(Variants::variant).collect();
    let listed: BTreeSet<&str> = T::NAMES.iter().copied().collect();
    assert_eq!(
        shown,
        listed,
        "variants with a golden sample, and variants of {}",
        std::any::type_name::<T>()
    );
}

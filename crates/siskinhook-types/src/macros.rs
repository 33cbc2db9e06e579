//! The macro for the derives that plain data types share.

/// Adds the derives common to the project's plain data types: `Clone`, `Debug`,
/// `PartialEq`, `Eq`, `Serialize` and `Deserialize`.
///
/// Further derives are written on the item as usual. The calling crate needs
/// `serde` among its dependencies.
#[macro_export]
macro_rules! value_type {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

//! A test for each deliberate fault and the scenario that has to find it.

/// `finds! { check; name: fault, "scenario"; ... }` makes a test of each line, which calls `check("scenario", fault)`.
macro_rules! finds {
    ($check:ident; $($name:ident: $fault:expr, $scenario:literal;)*) => {
        $(
            #[test]
            fn $name() {
                $check($scenario, $fault);
            }
        )*
    };
}

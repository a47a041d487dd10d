//! Holds nothing: the tests of this package show how `async-h1` behaves.

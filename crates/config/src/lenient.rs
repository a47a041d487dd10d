//! Deserializers for fields that clients write in several ways: `null` for a missing field, `5.0` for 5.

use serde::de::value::MapAccessDeserializer;
use serde::de::{Deserialize, Deserializer, Error, MapAccess, Visitor};
use std::fmt;
use std::marker::PhantomData;

/// `null` means the default.
pub(crate) fn null_as_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(Option::deserialize(deserializer)?.unwrap_or_default())
}

/// An integer, also if it is written as a float; `null` means 0.
pub(crate) fn integer<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64> + Default,
{
    Ok(optional_integer(deserializer)?.unwrap_or_default())
}

/// As [`integer`], but `null` is an error.
pub(crate) fn required_integer<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    optional_integer(deserializer)?.ok_or_else(|| D::Error::custom("null is no whole number"))
}

/// As [`integer`], but `null` and 0 mean 1.
pub(crate) fn integer_or_one<'de, D>(deserializer: D) -> Result<u32, D::Error>
where
    D: Deserializer<'de>,
{
    let number: Option<u32> = optional_integer(deserializer)?;
    Ok(number.unwrap_or(1).max(1))
}

/// As [`integer`], but `null` means `None`.
pub(crate) fn optional_integer<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    let Some(number) = Option::<serde_json::Number>::deserialize(deserializer)? else {
        return Ok(None);
    };
    let whole = number.as_u64().or_else(|| integral_fraction(number.as_f64()?));
    let fitting = whole.and_then(|whole| T::try_from(whole).ok());
    fitting
        .map(Some)
        .ok_or_else(|| D::Error::custom(format!("{number} is no whole number of this field's range")))
}

/// `fraction` as an integer, if it is one that a float represents exactly.
fn integral_fraction(fraction: f64) -> Option<u64> {
    const EXACT: f64 = 9_007_199_254_740_992.0;
    let exact = fraction.fract() == 0.0 && (0.0..=EXACT).contains(&fraction);
    exact.then_some(fraction as u64)
}

/// A value that must be a JSON object; derived implementations also accept an array of the fields' values.
pub(crate) struct Object<T>(pub T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ObjectVisitor(PhantomData)).map(Object)
    }
}

struct ObjectVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
    type Value = T;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<T, A::Error> {
        T::deserialize(MapAccessDeserializer::new(map))
    }
}

/// An object; `null` means `None`.
pub(crate) fn object_or_none<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    let object = Option::<Object<T>>::deserialize(deserializer)?;
    Ok(object.map(|Object(value)| value))
}

/// An object; `null` means the default.
pub(crate) fn object_or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(object_or_none(deserializer)?.unwrap_or_default())
}

/// A list of objects; `null` means an empty one.
pub(crate) fn objects<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    let objects: Option<Vec<Object<T>>> = Option::deserialize(deserializer)?;
    Ok(objects.unwrap_or_default().into_iter().map(|Object(value)| value).collect())
}

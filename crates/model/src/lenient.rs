//! Fields that other writers spell in several ways: `null` for "not given", `5.0` for 5.

use serde::de::{Deserialize, Deserializer, Error};

/// `null` stands for the default.
pub fn null_as_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(Option::deserialize(deserializer)?.unwrap_or_default())
}

/// A whole number, also where it is written as a fraction; `null` stands for 0.
pub fn whole<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64> + Default,
{
    Ok(whole_or_none(deserializer)?.unwrap_or_default())
}

/// As [`whole`], but `null` and 0 stand for 1.
pub fn whole_or_one<'de, D>(deserializer: D) -> Result<u32, D::Error>
where
    D: Deserializer<'de>,
{
    let number: Option<u32> = whole_or_none(deserializer)?;
    Ok(number.unwrap_or(1).max(1))
}

/// As [`whole`], but `null` stands for "not given".
pub fn whole_or_none<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    let Some(number) = Option::<serde_json::Number>::deserialize(deserializer)? else {
        return Ok(None);
    };
    let whole = number.as_u64().or_else(|| whole_fraction(number.as_f64()?));
    let fitting = whole.and_then(|whole| T::try_from(whole).ok());
    fitting
        .map(Some)
        .ok_or_else(|| D::Error::custom(format!("{number} is no whole number of this field's range")))
}

/// `fraction` as a whole number, if it is one that a fraction holds exactly.
fn whole_fraction(fraction: f64) -> Option<u64> {
    const EXACT: f64 = 9_007_199_254_740_992.0;
    let exact = fraction.fract() == 0.0 && (0.0..=EXACT).contains(&fraction);
    exact.then_some(fraction as u64)
}

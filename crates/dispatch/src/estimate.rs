//! Estimators that learn from answers: the time to the first byte by tokens to prefill, hit rates of prefix caches, and
//! the latency of an endpoint relative to its service.

/// Factor on the weight of earlier samples at each new one; the mean spans about 50 samples.
const SAMPLE_DECAY: f64 = 0.98;

/// Expected time to the first byte without prefill before any sample, s.
const INITIAL_BASE_S: f64 = 0.05;

/// Expected prefill rate before any sample, tokens a second. It is low, so that the first answers of a slow engine do
/// not count as response time-outs.
const INITIAL_PREFILL_RATE: f64 = 20_000.0;

/// Prompt size of the second prior sample, tokens.
const INITIAL_PREFILL_TOKENS: f64 = 10_000.0;

/// Weight of a prior sample.
const PRIOR_WEIGHT: f64 = 0.5;

/// Samples are clamped to this factor above and below the expected time.
const OUTLIER_FACTOR: f64 = 6.0;

/// Lower bound of the expected time, s, so that a fast service can still be found slow.
const MIN_EXPECTED_S: f64 = 0.001;

/// Time to the first byte as a linear function of the tokens to prefill: an exponentially weighted least-squares fit.
#[derive(Debug, Clone, Copy)]
pub struct FirstByteRegression {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Default for FirstByteRegression {
    fn default() -> Self {
        let mut line = FirstByteRegression { weight: 0.0, x: 0.0, y: 0.0, xx: 0.0, xy: 0.0 };
        line.add(PRIOR_WEIGHT, 0.0, INITIAL_BASE_S);
        line.add(
            PRIOR_WEIGHT,
            INITIAL_PREFILL_TOKENS,
            INITIAL_BASE_S + INITIAL_PREFILL_TOKENS / INITIAL_PREFILL_RATE,
        );
        line
    }
}

impl FirstByteRegression {
    /// Adds a measured time in s. Outliers are clamped.
    pub fn sample(&mut self, tokens: f64, measured_s: f64) {
        let expected_s = self.expected_s(tokens).max(MIN_EXPECTED_S);
        let measured_s = measured_s.clamp(expected_s / OUTLIER_FACTOR, expected_s * OUTLIER_FACTOR);
        self.weight *= SAMPLE_DECAY;
        self.x *= SAMPLE_DECAY;
        self.y *= SAMPLE_DECAY;
        self.xx *= SAMPLE_DECAY;
        self.xy *= SAMPLE_DECAY;
        self.add(1.0, tokens, measured_s);
    }

    /// Time for one more token, s; never negative.
    pub fn per_token_s(&self) -> f64 {
        let spread = self.weight * self.xx - self.x * self.x;
        if spread <= f64::EPSILON {
            return 0.0;
        }
        ((self.weight * self.xy - self.x * self.y) / spread).max(0.0)
    }

    /// Time to the first byte without prefill, s.
    pub fn base_s(&self) -> f64 {
        ((self.y - self.per_token_s() * self.x) / self.weight).max(0.0)
    }

    /// Time to the first byte after a prefill of `tokens`, s.
    pub fn expected_s(&self, tokens: f64) -> f64 {
        self.base_s() + self.per_token_s() * tokens
    }

    fn add(&mut self, weight: f64, x: f64, y: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }
}

/// The hit rate of a prefix cache, from 0 to 1, as an exponentially weighted mean.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HitRate(f64);

impl HitRate {
    /// Weight of a new sample.
    const GAIN: f64 = 0.05;

    /// A hit rate before any sample.
    pub const fn new(initial: f64) -> Self {
        HitRate(initial)
    }

    /// Adds a sample, clamped to the range.
    pub fn sample(&mut self, measured: f64) {
        self.0 += Self::GAIN * (measured.clamp(0.0, 1.0) - self.0);
    }

    /// The mean.
    pub const fn get(self) -> f64 {
        self.0
    }
}

/// Latency of an endpoint relative to its service: 1 for the mean, above 1 for a slower one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatencyRatio(f64);

impl Default for LatencyRatio {
    fn default() -> Self {
        LatencyRatio(1.0)
    }
}

impl LatencyRatio {
    /// Weight of a new sample, so that the mean follows a change within a few answers.
    const GAIN: f64 = 0.2;
    /// Range of a sample, so that a single outlier does not keep all requests away.
    const RANGE: (f64, f64) = (0.25, 6.0);

    /// Adds a measured time, compared with the time that was expected of any endpoint of the service, both in s.
    pub fn sample(&mut self, measured_s: f64, expected_s: f64) {
        let ratio = measured_s / expected_s.max(1e-3);
        self.0 += Self::GAIN * (ratio.clamp(Self::RANGE.0, Self::RANGE.1) - self.0);
    }

    /// The mean.
    pub const fn get(self) -> f64 {
        self.0
    }
}

//! What is learned from answers: the time to the first byte by tokens to read, the pace of output, and how
//! often a prompt is found in an engine's memory.

/// Weight that earlier samples keep at each new one: some 50 samples back still count.
const KEEP: f64 = 0.98;

/// Before any sample, an answer is believed to begin after this, s: what the first answers tell replaces it.
const FIRST_BASE_S: f64 = 0.05;

/// Before any sample, an engine is believed to read this many tokens a second: rather too few, so that the
/// first answers of a slow engine aren't taken for silence.
const FIRST_READ_RATE: f64 = 20_000.0;

/// Prompt size at which the second guessed point of the line lies, tokens.
const FIRST_READ_TOKENS: f64 = 10_000.0;

/// Weight of a guessed point, samples.
const GUESS_WEIGHT: f64 = 0.5;

/// A time this many times longer or shorter than expected is odd: it is learned step by step.
const ODD_MULTIPLE: f64 = 6.0;

/// Least time that is expected, s, so that a service that answers at once can still be found slow.
const LEAST_EXPECTED_S: f64 = 0.001;

/// Time to the first byte as a line over the tokens to be read: an exponentially weighted least-squares fit.
#[derive(Debug, Clone, Copy)]
pub struct FirstByteLine {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Default for FirstByteLine {
    fn default() -> Self {
        let mut line = FirstByteLine { weight: 0.0, x: 0.0, y: 0.0, xx: 0.0, xy: 0.0 };
        line.add(GUESS_WEIGHT, 0.0, FIRST_BASE_S);
        line.add(GUESS_WEIGHT, FIRST_READ_TOKENS, FIRST_BASE_S + FIRST_READ_TOKENS / FIRST_READ_RATE);
        line
    }
}

impl FirstByteLine {
    /// Takes a measured time in; one far from what was expected counts as less far.
    pub fn sample(&mut self, tokens: f64, measured_s: f64) {
        let expected_s = self.expected_s(tokens).max(LEAST_EXPECTED_S);
        let measured_s = measured_s.clamp(expected_s / ODD_MULTIPLE, expected_s * ODD_MULTIPLE);
        self.weight *= KEEP;
        self.x *= KEEP;
        self.y *= KEEP;
        self.xx *= KEEP;
        self.xy *= KEEP;
        self.add(1.0, tokens, measured_s);
    }

    /// Time that one more token takes, s; never below zero.
    pub fn per_token_s(&self) -> f64 {
        let spread = self.weight * self.xx - self.x * self.x;
        if spread <= f64::EPSILON {
            return 0.0;
        }
        ((self.weight * self.xy - self.x * self.y) / spread).max(0.0)
    }

    /// Time to the first byte where nothing is to be read, s.
    pub fn base_s(&self) -> f64 {
        ((self.y - self.per_token_s() * self.x) / self.weight).max(0.0)
    }

    /// Time to the first byte after reading so many tokens, s.
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

/// A share from 0 to 1 as an exponentially weighted mean.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share(f64);

impl Share {
    /// Weight of a new sample.
    const GAIN: f64 = 0.05;

    /// A share before any sample.
    pub const fn new(initial: f64) -> Self {
        Share(initial)
    }

    /// Takes a sample in; it is cut to the range.
    pub fn sample(&mut self, measured: f64) {
        self.0 += Self::GAIN * (measured.clamp(0.0, 1.0) - self.0);
    }

    /// The mean.
    pub const fn get(self) -> f64 {
        self.0
    }
}

/// How much slower than the others of its service an endpoint is, 1 for as fast as they.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slowness(f64);

impl Default for Slowness {
    fn default() -> Self {
        Slowness(1.0)
    }
}

impl Slowness {
    /// Weight of a new sample: a few answers tell.
    const GAIN: f64 = 0.2;
    /// Range of one sample, so that one odd answer doesn't shut an endpoint.
    const RANGE: (f64, f64) = (0.25, 6.0);

    /// Takes an answer in, by the time that was expected of any endpoint of the service.
    pub fn sample(&mut self, measured_s: f64, expected_s: f64) {
        let ratio = measured_s / expected_s.max(1e-3);
        self.0 += Self::GAIN * (ratio.clamp(Self::RANGE.0, Self::RANGE.1) - self.0);
    }

    /// The mean.
    pub const fn get(self) -> f64 {
        self.0
    }
}

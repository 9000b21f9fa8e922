use {
    super::{
        cost::mean_work_us,
        mix::{Band, Mix, Waves},
    },
    whinlatch_wire::target::PREFIX_BLOCK_TOKENS,
};

/// A generated request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time of arrival, in µs.
    pub at_us: u64,
    /// Index of its band in the mix.
    pub band: usize,
    /// Index of its account in the mix.
    pub account: usize,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Length of the answer.
    pub answer_tokens: u32,
    /// Deadline, in ms from the arrival.
    pub deadline_ms: u64,
    /// Hash of the prompt's prefix at the end of each complete block.
    pub prefix_hashes: Vec<u64>,
}

const US_PER_S: f64 = 1_000_000.0;

/// Draws all requests of a run, ordered by arrival. Each band has its own random generator, so that
/// leaving out a band doesn't change the requests of the others. `load_mix` is the mix whose mean work
/// sets the request rate for `load`.
pub fn draw_arrivals(
    mix: &Mix,
    load_mix: &Mix,
    targets: usize,
    load: f64,
    seed: u64,
) -> Vec<Arrival> {
    let work_us: f64 = load_mix
        .bands
        .iter()
        .map(|band| band.share * mean_work_us(band))
        .sum();
    let per_s = load * targets as f64 * US_PER_S / work_us;
    let mut arrivals = Vec::new();
    for (index, band) in mix.bands.iter().enumerate() {
        let mut rng = fastrand::Rng::with_seed(seed ^ name_hash(&band.name));
        let mut at_s = 0.0;
        let max_per_s = per_s * band.share * peak_rate_factor(band);
        loop {
            at_s += -(1.0 - rng.f64()).ln() / max_per_s;
            if at_s >= mix.duration_s as f64 {
                break;
            }
            if rng.f64() * peak_rate_factor(band) <= rate_factor_at(band, at_s) {
                arrivals.push(draw_arrival(mix, index, at_s, &mut rng));
            }
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals
}

fn name_hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// Returns the highest rate of a band as a multiple of its mean rate.
fn peak_rate_factor(band: &Band) -> f64 {
    band.waves
        .as_ref()
        .map_or(1.0, |waves| waves.factor * base_rate_factor(waves))
}

/// Returns the rate between waves as a multiple of the mean rate.
fn base_rate_factor(waves: &Waves) -> f64 {
    let wave_fraction = waves.length_s as f64 / waves.every_s as f64;
    1.0 / (1.0 - wave_fraction + wave_fraction * waves.factor)
}

/// Returns the rate of a band at a time as a multiple of its mean rate.
fn rate_factor_at(band: &Band, at_s: f64) -> f64 {
    let Some(waves) = &band.waves else { return 1.0 };
    let offset_s = at_s % waves.every_s as f64;
    // A wave is at the end of each period, so that no run starts inside one.
    let in_wave = offset_s >= (waves.every_s - waves.length_s) as f64;
    base_rate_factor(waves) * if in_wave { waves.factor } else { 1.0 }
}

fn draw_arrival(mix: &Mix, index: usize, at_s: f64, rng: &mut fastrand::Rng) -> Arrival {
    let band = &mix.bands[index];
    let prompt_tokens = band.prompt_at(rng.f64());
    Arrival {
        at_us: (at_s * US_PER_S) as u64,
        band: index,
        account: draw_account(mix, rng),
        prompt_tokens,
        answer_tokens: rng.u32(band.answer_tokens[0]..=band.answer_tokens[1]),
        deadline_ms: band.deadline_ms,
        prefix_hashes: draw_prefix(band, prompt_tokens, rng),
    }
}

fn draw_account(mix: &Mix, rng: &mut fastrand::Rng) -> usize {
    let total: f64 = mix.accounts.iter().map(|account| account.share).sum();
    let mut point = rng.f64() * total;
    for (index, account) in mix.accounts.iter().enumerate() {
        if point < account.share {
            return index;
        }
        point -= account.share;
    }
    mix.accounts.len() - 1
}

/// Draws the hashes of a prompt's blocks. Prompts of one prefix group have the hashes of the shared
/// prefix in common.
fn draw_prefix(band: &Band, prompt_tokens: u64, rng: &mut fastrand::Rng) -> Vec<u64> {
    let blocks = prompt_tokens / PREFIX_BLOCK_TOKENS;
    let mut own_rng = rng.fork();
    let (shared_blocks, mut shared_rng) = match &band.prefix {
        Some(prefix) if rng.f64() < prefix.reuse => {
            let group = rng.u64(0..prefix.groups.max(1));
            let shared_blocks = prefix.tokens / PREFIX_BLOCK_TOKENS;
            let shared_rng = fastrand::Rng::with_seed(name_hash(&band.name) ^ group);
            (shared_blocks, shared_rng)
        }
        _ => (0, rng.fork()),
    };
    (0..blocks)
        .map(|block| {
            if block < shared_blocks {
                shared_rng.u64(..)
            } else {
                own_rng.u64(..)
            }
        })
        .collect()
}

use {
    super::{
        cost::mean_work_us,
        mix::{Band, Mix, Waves},
    },
    whinlatch_wire::target::PREFIX_BLOCK_TOKENS,
};

/// A request that will arrive.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When, in us.
    pub at_us: u64,
    /// Band of the mix.
    pub band: usize,
    /// Account of the mix.
    pub account: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub answer_tokens: u32,
    /// Deadline, in ms from the arrival.
    pub deadline_ms: u64,
    /// Hashes of the prompt's prefixes at each whole block.
    pub prefix_hashes: Vec<u64>,
}

const US_PER_S: f64 = 1_000_000.0;

/// Draws all requests of a run. Each band has chance of its own, so that leaving bands out doesn't
/// change the others. `rate_of` is the mix whose work makes up the load.
pub fn draw_arrivals(
    mix: &Mix,
    rate_of: &Mix,
    targets: usize,
    load: f64,
    seed: u64,
) -> Vec<Arrival> {
    let work_us: f64 = rate_of
        .bands
        .iter()
        .map(|band| band.share * mean_work_us(band))
        .sum();
    let per_s = load * targets as f64 * US_PER_S / work_us;
    let mut arrivals = Vec::new();
    for (index, band) in mix.bands.iter().enumerate() {
        let mut rng = fastrand::Rng::with_seed(seed ^ name_hash(&band.name));
        let mut at_s = 0.0;
        let most_per_s = per_s * band.share * peak(band);
        loop {
            at_s += -(1.0 - rng.f64()).ln() / most_per_s;
            if at_s >= mix.duration_s as f64 {
                break;
            }
            if rng.f64() * peak(band) <= factor_at(band, at_s) {
                arrivals.push(draw(mix, index, at_s, &mut rng));
            }
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals
}

fn name_hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// Highest rate of a band over its mean.
fn peak(band: &Band) -> f64 {
    band.waves
        .as_ref()
        .map_or(1.0, |waves| waves.factor * calm(waves))
}

/// Rate between waves over the mean.
fn calm(waves: &Waves) -> f64 {
    let part = waves.length_s as f64 / waves.every_s as f64;
    1.0 / (1.0 - part + part * waves.factor)
}

fn factor_at(band: &Band, at_s: f64) -> f64 {
    let Some(waves) = &band.waves else { return 1.0 };
    let within = at_s % waves.every_s as f64;
    // Waves end a period rather than begin it, so that no run begins with one.
    let in_wave = within >= (waves.every_s - waves.length_s) as f64;
    calm(waves) * if in_wave { waves.factor } else { 1.0 }
}

fn draw(mix: &Mix, index: usize, at_s: f64, rng: &mut fastrand::Rng) -> Arrival {
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

/// Hashes of a prompt's blocks: those of the shared prefix are the same for its group.
fn draw_prefix(band: &Band, prompt_tokens: u64, rng: &mut fastrand::Rng) -> Vec<u64> {
    let blocks = prompt_tokens / PREFIX_BLOCK_TOKENS;
    let mut own = rng.fork();
    let (shared, mut common) = match &band.prefix {
        Some(prefix) if rng.f64() < prefix.reuse => {
            let group = rng.u64(0..prefix.groups.max(1));
            let shared = prefix.tokens / PREFIX_BLOCK_TOKENS;
            let common = fastrand::Rng::with_seed(name_hash(&band.name) ^ group);
            (shared, common)
        }
        _ => (0, rng.fork()),
    };
    (0..blocks)
        .map(|block| {
            if block < shared {
                common.u64(..)
            } else {
                own.u64(..)
            }
        })
        .collect()
}

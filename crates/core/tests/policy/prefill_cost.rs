use whinlatch_core::fleet::{CostRegression, PrefillCost, PrefillSample};

const RATE: u64 = 40_000;

fn true_cost() -> PrefillCost {
    PrefillCost {
        token_ms: 0.03,
        pair_ms: 2.0e-7,
    }
}

fn sample(cost: &PrefillCost, tokens: u64) -> PrefillSample {
    PrefillSample {
        tokens,
        engines: 1,
        took_ms: cost.read_ms(0, tokens, 1),
    }
}

fn relative_error(guess: &PrefillCost, true_cost: &PrefillCost, tokens: u64) -> f64 {
    (guess.read_ms(0, tokens, 1) / true_cost.read_ms(0, tokens, 1) - 1.0).abs()
}

#[test]
fn a_million_tokens_cost_far_more_than_a_thousand_prompts_of_a_thousand() {
    let cost = true_cost();

    let short = cost.read_ms(0, 1_000, 1);
    let long = cost.read_ms(0, 1_000_000, 1);

    assert!(long > 3.0 * 1_000.0 * short);
}

#[test]
fn the_stated_rate_is_used_until_samples_arrive() {
    let fleet = CostRegression::prior();

    let cost = CostRegression::default().cost(&fleet, RATE);

    assert!((cost.token_ms - 0.025).abs() < 1e-6);
    assert!(cost.pair_ms > 0.0);
}

#[test]
fn both_parts_are_learned_from_samples() {
    let mut own = CostRegression::default();
    let mut fleet = CostRegression::prior();
    for round in 0..100 {
        let sample = sample(&true_cost(), 2_000 + round * 2_000);
        own.add_sample(&sample, RATE);
        fleet.add_sample(&sample, RATE);
    }

    let cost = own.cost(&fleet, RATE);

    for tokens in [2_000, 50_000, 1_000_000] {
        assert!(
            relative_error(&cost, &true_cost(), tokens) < 0.02,
            "{tokens}: {cost:?}"
        );
    }
}

#[test]
fn a_slow_target_is_distinguished_from_the_fleet() {
    let mut fleet = CostRegression::prior();
    for round in 0..100 {
        fleet.add_sample(&sample(&true_cost(), 2_000 + round * 2_000), RATE);
    }
    let slow = PrefillCost {
        token_ms: 0.09,
        pair_ms: 6.0e-7,
    };
    let mut own = CostRegression::default();
    for round in 0..40 {
        own.add_sample(&sample(&slow, 2_000 + round * 5_000), RATE);
    }

    let cost = own.cost(&fleet, RATE);

    assert!(relative_error(&cost, &slow, 100_000) < 0.3, "{cost:?}");
}

#[test]
fn few_short_samples_never_make_a_part_negative() {
    let mut own = CostRegression::default();
    let mut fleet = CostRegression::prior();
    for took_ms in [400.0, 30.0, 90.0, 20.0] {
        let sample = PrefillSample {
            tokens: 1_500,
            engines: 1,
            took_ms,
        };
        own.add_sample(&sample, RATE);
        fleet.add_sample(&sample, RATE);
    }

    let cost = own.cost(&fleet, RATE);

    assert!(cost.token_ms > 0.0);
    assert!(cost.pair_ms >= 0.0);
}
